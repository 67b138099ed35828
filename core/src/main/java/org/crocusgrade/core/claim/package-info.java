/** Claims of idempotency keys, which ensure that a request runs at most once. */
package org.crocusgrade.core.claim;
