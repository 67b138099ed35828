/** Plays whole maintenance waves under a clock of its own and times them. */
package org.crocusgrade.bench.maintenance;
