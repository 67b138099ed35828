/** Trials with daemons as processes and two injected faults at a time. */
package org.crocusgrade.bench.fault;
