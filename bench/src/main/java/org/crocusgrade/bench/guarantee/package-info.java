/**
 * Checks the system's guarantees to its users against what callers, workers and the platform
 * recorded. Of a daemon's own output, only its answers to callers are used as input.
 */
package org.crocusgrade.bench.guarantee;
