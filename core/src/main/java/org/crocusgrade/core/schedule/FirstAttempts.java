package org.crocusgrade.core.schedule;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.crocusgrade.core.submission.SubmissionId;

/**
 * Remembers the first attempts of submissions that are not accepted yet, so that a refused caller
 * that returns is not ranked after those that arrived later.
 */
final class FirstAttempts {
    /** About 100 refusals per second, each returning within 20 s, twice over; about 0.5 MB. */
    private static final int MAX_ATTEMPTS = 4096;

    private final Map<SubmissionId, Attempt> attempts = new LinkedHashMap<>();

    Optional<Attempt> find(SubmissionId id) {
        return Optional.ofNullable(attempts.get(id));
    }

    /** Remembers an attempt, and forgets the one that was least recently refused if needed. */
    void put(SubmissionId id, Attempt first) {
        attempts.remove(id);
        attempts.put(id, first);
        if (attempts.size() > MAX_ATTEMPTS) {
            attempts.remove(attempts.keySet().iterator().next());
        }
    }

    void remove(SubmissionId id) {
        attempts.remove(id);
    }

    /**
     * The first attempt of a submission.
     *
     * @param nanos when it arrived, on the monotonic clock
     * @param beyondRate whether the customer had used up its rate then
     */
    record Attempt(long nanos, boolean beyondRate) {}
}
