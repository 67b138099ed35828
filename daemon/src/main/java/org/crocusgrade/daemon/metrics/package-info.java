/** The daemon's metrics and their exposition in the Prometheus text format. */
package org.crocusgrade.daemon.metrics;
