package org.crocusgrade.core.schedule;

/** The result of a start order. */
public enum StartAnswer {
    /** The worker has started the run. */
    STARTED,
    /** The worker has no room; the run does not exist. */
    NO_ROOM,
    /** The worker rejected the ticket; the run does not exist. */
    NO_TICKET,
    /** The worker refused for another reason; the run does not exist. */
    REFUSED,
    /** The worker has already received this run or a later one of the task; nothing was started. */
    SUPERSEDED,
    /** The order was not sent; the run does not exist. */
    NOT_SENT,
    /** No answer arrived; the run may begin at any time. */
    UNKNOWN
}
