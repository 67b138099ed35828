/** Admission, order, placement, retry and cancellation of requests. */
package org.crocusgrade.core.dispatch;
