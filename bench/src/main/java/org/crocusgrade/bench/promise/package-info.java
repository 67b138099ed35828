/**
 * Checks what the brief promises its users, from what callers, workers and the platform saw.
 * Nothing that a daemon says about itself is taken as evidence, apart from what it told a caller.
 */
package org.crocusgrade.bench.promise;
