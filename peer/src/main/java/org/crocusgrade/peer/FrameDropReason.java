package org.crocusgrade.peer;

/** Why the link dropped a frame or a connection; each reason has its own counter. */
public enum FrameDropReason {
    /** The tag was wrong: the peer has another key, or bytes were changed in transit. */
    BAD_TAG("bad-tag"),
    /** The frame is longer than {@link PeerNode#MAX_FRAME_BYTES}. */
    TOO_LONG("too-long"),
    /**
     * The frame or its payload cannot be parsed, or it arrived on a connection that this daemon
     * dialed, on which it only sends.
     */
    MALFORMED("malformed"),
    /** The first message was not a greeting with a valid daemon id and boot id. */
    NO_GREETING("no-greeting"),
    /** No address is set for the peer. */
    NO_ADDRESS("no-address"),
    /** There is no connection to the peer, and the message can no longer wait for one. */
    UNREACHABLE("unreachable"),
    /** The write buffer of the connection is full, because the peer reads too slowly. */
    CONGESTED("congested");

    /** The label value of the counter. */
    public final String code;

    FrameDropReason(String code) {
        this.code = code;
    }
}
