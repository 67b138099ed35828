/** Claims of idempotency keys, so that a request runs at most once. */
package org.crocusgrade.core.claim;
