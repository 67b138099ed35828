package org.crocusgrade.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.crocusgrade.core.id.WorkerId;

/**
 * Detects the workers of one pool on which attempts fail, ejects them, and tries them again.
 *
 * <p>The owner of a worker reports the ends of attempts that it and the other daemons observed. A
 * worker that fails fast does disproportionate damage: its slots are always free, so it attracts
 * requests. Each end counts with a weight that decays over some seconds. A worker is ejected when
 * most of its recent attempts failed while those on the pool's other workers did not; the
 * comparison keeps a bad request, a bad release of the service or a network partition between
 * availability zones, which fail everywhere, from emptying the pool. The cap on ejected workers
 * limits the damage where the comparison is misled.
 *
 * <p>After a pause the worker is on trial with one slot. Some good answers in a row readmit it; one
 * failure ejects it again for twice as long.
 *
 * <p>Example: each of 6 workers runs 8 requests at once. One begins to fail every request in 1 ms.
 * Its first 5 failures arrive within some milliseconds; the others' share of failures is near 0, so
 * it is ejected, and 2 s later it is tried with one request at a time.
 *
 * <p>Detection is slow on a worker that gets few requests, because {@link #MIN_FAILURES} must
 * accumulate.
 */
public final class WorkerHealth {
    /** The decayed number of failures from which a worker may be ejected. */
    static final double MIN_FAILURES = 5;

    /**
     * The share of a pool's workers that may be ejected at once; in a pool of 2 or more, one may.
     */
    static final double MAX_EJECTED_SHARE = 0.25;

    /** Good answers in a row that end a trial with success. */
    static final int TRIAL_ANSWERS = 3;

    /** The pause after the first ejection; each failed trial doubles it. */
    static final long FIRST_PAUSE_NANOS = 2_000_000_000L;

    static final long MAX_PAUSE_NANOS = 60_000_000_000L;

    private static final double FAILING_SHARE = 0.8;
    private static final double OTHERS_FAILING_SHARE = 0.4;
    private static final double DECAY_NANOS = 5e9;
    private static final int TRIAL_SLOTS = 1;

    private final Map<WorkerId, WorkerStats> statsByWorker = new HashMap<>();
    private int poolWorkers;
    private int ejectedElsewhere;

    /** Which slots of a worker may be used. */
    public enum State {
        /** All slots may be used. */
        IN_USE,
        /** Ejected: no slot may be used. */
        OUT,
        /** One slot may be used. */
        ON_TRIAL
    }

    /**
     * Sets the size of the pool.
     *
     * @param workers the number of workers in the pool, including those that other daemons own
     * @param ejectedByOthers how many of them other owners have ejected
     */
    public void setPoolSize(int workers, int ejectedByOthers) {
        poolWorkers = workers;
        ejectedElsewhere = ejectedByOthers;
    }

    /** Records the end of one attempt on a worker. */
    public void report(WorkerId worker, RunEnd end, long now) {
        if (end == RunEnd.ANSWERED) {
            report(worker, 1, 0, now);
        } else if (end.isWorkerFailure()) {
            report(worker, 0, 1, now);
        }
    }

    /** Records the numbers of good and failed attempts that ended on a worker. */
    public void report(WorkerId worker, int good, int failed, long now) {
        Objects.requireNonNull(worker);
        WorkerStats stats = statsByWorker.computeIfAbsent(worker, id -> new WorkerStats());
        stats.decay(now);
        stats.good += good;
        stats.failed += failed;
        switch (stats.state(now)) {
            case IN_USE:
                if (isFailing(worker, stats, now) && mayEject(worker, now)) {
                    stats.eject(now);
                }
                return;
            case ON_TRIAL:
                updateTrial(stats, good, failed, now);
                return;
            default:
                return;
        }
    }

    private static void updateTrial(WorkerStats stats, int good, int failed, long now) {
        if (failed > 0) {
            stats.eject(now);
            return;
        }
        stats.trialAnswers += good;
        if (stats.trialAnswers >= TRIAL_ANSWERS) {
            stats.readmit();
        }
    }

    private boolean isFailing(WorkerId worker, WorkerStats stats, long now) {
        if (stats.failed < MIN_FAILURES || stats.failedShare() < FAILING_SHARE) {
            return false;
        }
        double good = 0;
        double failed = 0;
        for (Map.Entry<WorkerId, WorkerStats> entry : statsByWorker.entrySet()) {
            WorkerStats other = entry.getValue();
            if (!entry.getKey().equals(worker) && other.state(now) == State.IN_USE) {
                other.decay(now);
                good += other.good;
                failed += other.failed;
            }
        }
        return failed <= OTHERS_FAILING_SHARE * (good + failed);
    }

    private boolean mayEject(WorkerId worker, long now) {
        int ejected = ejectedElsewhere;
        for (Map.Entry<WorkerId, WorkerStats> entry : statsByWorker.entrySet()) {
            boolean other = !entry.getKey().equals(worker);
            if (other && entry.getValue().state(now) != State.IN_USE) {
                ejected++;
            }
        }
        int maxEjected =
                Math.max(poolWorkers >= 2 ? 1 : 0, (int) (poolWorkers * MAX_EJECTED_SHARE));
        return ejected < maxEjected;
    }

    /** Returns the state of a worker; IN_USE if nothing was reported about it. */
    public State state(WorkerId worker, long now) {
        WorkerStats stats = statsByWorker.get(worker);
        return stats == null ? State.IN_USE : stats.state(now);
    }

    /** Returns how many of a worker's slots may be used. */
    public int allowedSlots(WorkerId worker, int slots, long now) {
        switch (state(worker, now)) {
            case OUT:
                return 0;
            case ON_TRIAL:
                return Math.min(slots, TRIAL_SLOTS);
            default:
                return slots;
        }
    }

    /** Removes the statistics of a worker that left the pool or was rebooted. */
    public void forget(WorkerId worker) {
        statsByWorker.remove(worker);
    }

    private static final class WorkerStats {
        private double good;
        private double failed;
        private long decayedNanos;
        private boolean ejected;
        private long ejectedUntilNanos;
        private long pauseNanos = FIRST_PAUSE_NANOS;
        private int trialAnswers;

        private void decay(long now) {
            double factor = Math.exp(-Math.max(0, now - decayedNanos) / DECAY_NANOS);
            good *= factor;
            failed *= factor;
            decayedNanos = now;
        }

        private double failedShare() {
            return failed / (good + failed);
        }

        private State state(long now) {
            if (!ejected) {
                return State.IN_USE;
            }
            return ejectedUntilNanos - now > 0 ? State.OUT : State.ON_TRIAL;
        }

        private void eject(long now) {
            if (ejected) {
                pauseNanos = Math.min(MAX_PAUSE_NANOS, 2 * pauseNanos);
            }
            ejected = true;
            ejectedUntilNanos = now + pauseNanos;
            trialAnswers = 0;
        }

        private void readmit() {
            ejected = false;
            pauseNanos = FIRST_PAUSE_NANOS;
            good = 0;
            failed = 0;
        }
    }
}
