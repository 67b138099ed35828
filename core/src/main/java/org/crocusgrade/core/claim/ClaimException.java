package org.crocusgrade.core.claim;

/** Thrown when an entry of a claim log cannot be decoded. */
public final class ClaimException extends Exception {
    /**
     * Creates an exception.
     *
     * @param cause the failure that caused it, or null
     */
    public ClaimException(String message, Throwable cause) {
        super(message, cause);
    }
}
