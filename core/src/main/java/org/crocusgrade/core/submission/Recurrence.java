package org.crocusgrade.core.submission;

import java.time.Duration;
import java.time.Instant;
import java.util.Objects;

/**
 * When the occurrences of a submission are due.
 *
 * @param times how many occurrences
 * @param first when the first is due
 * @param interval the time between two
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

    /** Returns when an occurrence is due. */
    public Instant due(int occurrence) {
        return first.plus(interval.multipliedBy(occurrence));
    }
}
