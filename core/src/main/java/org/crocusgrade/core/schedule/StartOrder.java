package org.crocusgrade.core.schedule;

import java.util.Collection;
import java.util.List;

/** Decides in which order submissions get workers. */
@FunctionalInterface
interface StartOrder {
    /**
     * Returns the submissions, the most urgent first.
     *
     * @param now the time, in nanoseconds on the monotonic clock
     */
    List<TrackedSubmission> sort(Collection<TrackedSubmission> submissions, long now);
}
