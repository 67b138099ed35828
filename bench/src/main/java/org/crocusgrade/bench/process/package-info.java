/** Daemons as processes of their own on this machine, and what they cost it. */
package org.crocusgrade.bench.process;
