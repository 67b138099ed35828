/** Structured log lines, limited in rate and written without blocking the threads that log. */
package org.crocusgrade.daemon.log;
