/** Claims of idempotency keys over the fleet: which daemon keeps which log, and how it is asked. */
package org.crocusgrade.daemon.claim;
