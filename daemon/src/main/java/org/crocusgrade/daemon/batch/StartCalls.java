package org.crocusgrade.daemon.batch;

import java.time.Duration;
import org.crocusgrade.core.schedule.Placement;
import org.crocusgrade.core.schedule.PoolScheduler;
import org.crocusgrade.core.schedule.TrackedSubmission;

/** Records which calls for starts a pool's workers may still carry out, for the scheduler. */
final class StartCalls {
    private final PoolScheduler scheduler;
    private final Duration longestLease;

    StartCalls(BatchRuntime runtime, PoolScheduler scheduler) {
        this.scheduler = scheduler;
        longestLease = RunLease.longest(runtime.limits());
    }

    void onSent(Placement placement, long sentNanos) {
        scheduler.openStarts().onSent(placement, sentNanos, longestLease);
    }

    /** Records that a call got no answer; it is stored with the next change of the submission. */
    void onUnanswered(Placement placement) {
        scheduler.onStartUnanswered(placement);
    }

    /** Records that a call was answered, or was not sent. */
    void onSettled(Placement placement) {
        scheduler.openStarts().onSettled(placement);
    }

    /**
     * Restores what an earlier owner has stored of its calls.
     *
     * @param tookOverNanos when this owner took over, on the monotonic clock
     */
    void restore(TrackedSubmission submission, long tookOverNanos) {
        long lastCallNanos = tookOverNanos + PoolOwner.MAX_CONFIRMATION_AGE.toNanos();
        scheduler.openStarts().restore(submission, lastCallNanos, longestLease);
    }
}
