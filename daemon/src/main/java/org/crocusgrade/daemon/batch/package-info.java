/**
 * Runs submissions: duties held under a lease in the platform's store, owners of pools that send
 * orders to workers, the holder of the fleet duty that moves and maintains hosts, and the
 * forwarding of callers' requests to the owners. Everything here runs on one event loop; the
 * decisions are made in {@code core}.
 */
package org.crocusgrade.daemon.batch;
