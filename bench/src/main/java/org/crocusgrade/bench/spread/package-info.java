/** Measures topologies in which a configuration can spread from daemon to daemon. */
package org.crocusgrade.bench.spread;
