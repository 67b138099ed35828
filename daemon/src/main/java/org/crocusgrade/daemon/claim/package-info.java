/**
 * Claims of idempotency keys across all daemons: which daemon writes which claim log, and how
 * claims are requested from it.
 */
package org.crocusgrade.daemon.claim;
