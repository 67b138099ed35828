/** Admission, ordering, placement, retry and cancellation of requests. */
package org.crocusgrade.core.dispatch;
