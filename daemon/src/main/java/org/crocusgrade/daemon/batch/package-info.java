/**
 * Runs submissions: duties held under a lease in the platform's store, owners of pools that order
 * workers, the holder of the fleet's duty that moves and maintains hosts, and the way of a caller's
 * request to the owner. All of it runs on one event loop; the decisions are in {@code core}.
 */
package org.crocusgrade.daemon.batch;
