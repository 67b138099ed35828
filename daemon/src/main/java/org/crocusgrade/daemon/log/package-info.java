/** Structured log lines: bounded in number, written without blocking those who log. */
package org.crocusgrade.daemon.log;
