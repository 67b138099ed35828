package org.crocusgrade.core.member;

/** A record of a member that cannot be read. */
public final class MemberException extends Exception {
    /** Makes an exception with the failure below it, if any. */
    public MemberException(String message, Throwable cause) {
        super(message, cause);
    }
}
