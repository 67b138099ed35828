package org.crocusgrade.core.schedule;

import java.util.HashSet;
import java.util.Set;
import org.crocusgrade.core.submission.SubmissionId;

/**
 * How long runs take on one worker in relation to the pool's other workers: a decaying mean of the
 * logarithms.
 */
final class WorkerSpeed {
    /** Weight of the newest run, so that about 20 runs count. */
    private static final double NEWEST_WEIGHT = 0.05;

    /** Number of runs before a worker is judged. */
    private static final int MIN_RUNS = 10;

    /** Number of submissions with a run here before a worker is judged: one may be slow itself. */
    private static final int MIN_SUBMISSIONS = 3;

    /**
     * Limit of a single run's weight. A tail run takes seven times as long as others on any worker.
     */
    private static final double MAX_LOG = Math.log(3);

    private static final double SLOW_LOG = Math.log(1.5);

    /** A slow worker must come below this to be taken for sound again. */
    private static final double SOUND_LOG = Math.log(1.25);

    private final Set<SubmissionId> submissions = new HashSet<>();
    private int runs;
    private double mean;
    private boolean slow;

    /**
     * Records a completed run.
     *
     * @param relativeLog the logarithm of the ratio of its time to that of such runs in the pool
     * @return whether the worker is now taken for slow, or no longer
     */
    boolean add(double relativeLog, SubmissionId submission) {
        if (submissions.size() < MIN_SUBMISSIONS) {
            submissions.add(submission);
        }
        runs = Math.min(runs + 1, Integer.MAX_VALUE - 1);
        double bounded = Math.max(-MAX_LOG, Math.min(MAX_LOG, relativeLog));
        mean += Math.max(NEWEST_WEIGHT, 1.0 / runs) * (bounded - mean);
        boolean before = slow;
        if (runs >= MIN_RUNS && submissions.size() >= MIN_SUBMISSIONS) {
            slow = mean > (slow ? SOUND_LOG : SLOW_LOG);
        }
        return slow != before;
    }

    boolean isSlow() {
        return slow;
    }

    /** Returns how many times longer runs take here than elsewhere; 1 unless the worker is slow. */
    double slowdown() {
        return slow ? Math.exp(mean) : 1;
    }

    /** Returns the ratio of run times here to those elsewhere, also of a worker that is sound. */
    double ratio() {
        return Math.exp(mean);
    }
}
