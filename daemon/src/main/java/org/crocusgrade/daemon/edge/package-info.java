/**
 * The callers' HTTP interface: receives requests, runs them through the service queues, and writes
 * the responses.
 */
package org.crocusgrade.daemon.edge;
