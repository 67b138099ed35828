/** Shapes in which a configuration can spread from daemon to daemon, compared by measurement. */
package org.crocusgrade.bench.spread;
