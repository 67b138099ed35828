package org.crocusgrade.core.claim;

/** An entry of a claim log that cannot be read. */
public final class ClaimException extends Exception {
    /** Makes an exception with the failure below it. */
    public ClaimException(String message, Throwable cause) {
        super(message, cause);
    }
}
