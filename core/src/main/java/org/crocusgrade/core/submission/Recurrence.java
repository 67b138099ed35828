package org.crocusgrade.core.submission;

import java.time.DateTimeException;
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
        try {
            due(first, interval, times - 1);
        } catch (ArithmeticException | DateTimeException e) {
            throw new IllegalArgumentException("the last occurrence is due too late", e);
        }
    }

    public Instant due(int occurrence) {
        return due(first, interval, occurrence);
    }

    private static Instant due(Instant first, Duration interval, int occurrence) {
        return first.plus(interval.multipliedBy(occurrence));
    }
}
