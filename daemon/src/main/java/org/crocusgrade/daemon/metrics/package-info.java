/** Counters, gauges and histograms of the daemon. */
package org.crocusgrade.daemon.metrics;
