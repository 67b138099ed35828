/** Daemons as separate processes on this machine, and their processor time, memory and bytes. */
package org.crocusgrade.bench.process;
