package org.crocusgrade.core.dispatch;

/**
 * Bounds a service's retries to a share of its first attempts.
 *
 * <p>A token bucket: each first attempt adds {@link #TOKENS_PER_FIRST_ATTEMPT} tokens, each retry
 * takes one. The bound holds over all daemons without coordination: when every daemon's retries are
 * at most a share of its own first attempts, the sum of all retries is at most that share of all
 * first attempts, and each daemon adds at most {@link #INITIAL_TOKENS} more over its lifetime.
 */
final class RetryBudget {
    /** Retries for each first attempt, in the long run. */
    static final double TOKENS_PER_FIRST_ATTEMPT = 0.1;

    /** The tokens of a new queue. */
    static final double INITIAL_TOKENS = 2;

    private static final double MAX_TOKENS = 50;

    private double tokens = INITIAL_TOKENS;

    void recordFirstAttempt() {
        tokens = Math.min(MAX_TOKENS, tokens + TOKENS_PER_FIRST_ATTEMPT);
    }

    /** Takes a token for a retry; returns false if less than one is left. */
    boolean tryTake() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
