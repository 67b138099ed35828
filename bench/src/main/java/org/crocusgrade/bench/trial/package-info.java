/** End-to-end trials of a fleet on embedded stand-ins, and their reports. */
package org.crocusgrade.bench.trial;
