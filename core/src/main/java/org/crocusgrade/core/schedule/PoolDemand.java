package org.crocusgrade.core.schedule;

import java.time.Instant;
import org.crocusgrade.core.submission.Resources;
import org.crocusgrade.core.submission.StepSpec;

/**
 * What the tasks of a pool use and wait for. Opportunistic tasks are left out: they run only where
 * there is room. Tasks that wait for the limit of their customer do not wait for capacity: more
 * hosts would not let them start.
 */
public final class PoolDemand {
    private final PoolState pool;
    private final WorkEstimator estimator;
    private final StartPlanner starts;

    PoolDemand(PoolState pool, WorkEstimator estimator, StartPlanner starts) {
        this.pool = pool;
        this.estimator = estimator;
        this.starts = starts;
    }

    /** Returns what long-running tasks have reserved, or all other tasks. */
    public Resources reserved(boolean longRunning) {
        Resources sum = Resources.NONE;
        for (WorkerNode worker : pool.workers().values()) {
            for (Placement placement : worker.placements()) {
                StepSpec spec = placement.task().step().spec();
                if (spec.longRunning() == longRunning) {
                    sum = sum.plus(counted(spec));
                }
            }
        }
        return sum;
    }

    /** Returns what startable tasks wait for. */
    public Resources waiting(long now, Instant wall) {
        Resources sum = Resources.NONE;
        for (TrackedSubmission submission : pool.active()) {
            for (TrackedStep step : StartPlanner.readySteps(submission, wall)) {
                if (!starts.isAtLimit(step)) {
                    sum = sum.plus(counted(step.spec()).times(step.startable(now)));
                }
            }
        }
        return sum;
    }

    /** Returns the hosts that the pool lacks, because its workers have no room for a task. */
    public HostShortage hostShortage(long now, Instant wall) {
        return HostShortage.of(pool, starts, now, wall);
    }

    /**
     * Returns the remaining work of accepted submissions that are not long-running, in
     * core-milliseconds.
     */
    public double backlogCoreMillis() {
        double sum = 0;
        for (TrackedSubmission submission : pool.active()) {
            if (!submission.spec().isLongRunning()) {
                sum += estimator.remainingCoreMillis(submission);
            }
        }
        return sum;
    }

    private static Resources counted(StepSpec spec) {
        return spec.opportunistic() ? Resources.NONE : spec.reserved();
    }
}
