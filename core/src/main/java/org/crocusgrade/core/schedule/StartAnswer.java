package org.crocusgrade.core.schedule;

/** What became of an order to start a run. */
public enum StartAnswer {
    /** The worker runs it. */
    STARTED,
    /** The worker has no room; the run does not exist. */
    NO_ROOM,
    /** The worker does not accept the ticket; the run does not exist. */
    NO_TICKET,
    /** The worker refused it for another reason; the run does not exist. */
    REFUSED,
    /** The worker knows this or a later run of the task; nothing was started. */
    SUPERSEDED,
    /** The order never left; the run does not exist. */
    NOT_SENT,
    /** No answer came; the run may begin at any time. */
    UNKNOWN
}
