package org.crocusgrade.core.dispatch;

/**
 * Bounds a service's retries to a share of its first attempts.
 *
 * <p>Each first attempt puts {@link #SHARE} of a token in, each retry takes a whole one out. The
 * bound needs no talk between daemons: when every daemon's retries are at most a share of its own
 * first attempts, the sum of all retries is at most that share of all first attempts, and each
 * daemon adds at most {@link #START} more over its life.
 */
final class RetryBudget {
    /** Retries for each first attempt, in the long run. */
    static final double SHARE = 0.1;

    /** Tokens of a daemon that has just started. */
    static final double START = 2;

    private static final double MOST = 50;

    private double tokens = START;

    /** Counts a first attempt. */
    void firstAttempt() {
        tokens = Math.min(MOST, tokens + SHARE);
    }

    /** Takes a token for a retry; returns false when there is none. */
    boolean take() {
        if (tokens < 1) {
            return false;
        }
        tokens -= 1;
        return true;
    }
}
