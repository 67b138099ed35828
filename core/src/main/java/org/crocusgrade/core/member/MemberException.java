package org.crocusgrade.core.member;

/** Thrown when a stored member or authority record cannot be decoded. */
public final class MemberException extends Exception {
    /** Creates an exception; the cause may be null. */
    public MemberException(String message, Throwable cause) {
        super(message, cause);
    }
}
