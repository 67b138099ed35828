package org.crocusgrade.peer;

/** Why the link dropped a frame or a connection; each has its own counter. */
public enum FrameDropReason {
    /** The tag was wrong: another key, or bytes changed on the way. */
    BAD_TAG("bad-tag"),
    /** The frame is longer than the bound. */
    TOO_LONG("too-long"),
    /** The payload is no message of this protocol. */
    MALFORMED("malformed"),
    /** The first message was not a greeting. */
    NO_GREETING("no-greeting"),
    /** The peer's address is not known. */
    NO_ADDRESS("no-address"),
    /** The peer cannot be reached now. */
    UNREACHABLE("unreachable"),
    /** The peer takes frames too slowly and the bound on waiting frames is reached. */
    CONGESTED("congested");

    /** The label of the counter. */
    public final String code;

    FrameDropReason(String code) {
        this.code = code;
    }
}
