package org.crocusgrade.core.submission;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

/**
 * The schedule of the occurrences of a submission.
 *
 * @param times the number of occurrences
 * @param first when the first occurrence is due
 * @param interval the time between the due times of two occurrences
 */
public record Recurrence(int times, Instant first, Duration interval) {
    /** Checks the fields. */
    public Recurrence {
        Objects.requireNonNull(first);
        Objects.requireNonNull(interval);
        if (times <= 0 || interval.isNegative()) {
            throw new IllegalArgumentException("a recurrence needs times and an interval");
        }
    }

    public Instant due(int occurrence) {
        return first.plus(interval.multipliedBy(occurrence));
    }
}
