/** Simulates whole maintenance waves and measures how long they take. */
package org.crocusgrade.bench.maintenance;
