/** Executors and timers for work that must run one step at a time. */
package org.crocusgrade.daemon.concurrent;
