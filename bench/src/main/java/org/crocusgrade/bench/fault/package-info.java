/** Daemons as processes under two faults at a time, and whether every promise held. */
package org.crocusgrade.bench.fault;
