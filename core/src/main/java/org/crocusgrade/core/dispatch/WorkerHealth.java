package org.crocusgrade.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import org.crocusgrade.core.id.WorkerId;

/**
 * Finds the workers of one pool that fail what they start, takes them out, and tries them again.
 *
 * <p>The worker's owner feeds it with the ends of attempts that it and the other daemons saw. A
 * worker that fails at once is dangerous out of proportion: its slots are always free, so it draws
 * work. Each end counts with a weight that fades over some seconds. A worker is taken out when most
 * of its recent attempts failed while those on the pool's other workers did not; the comparison
 * keeps a bad request, a bad release of the service or a cut between availability zones, which fail
 * everywhere, from emptying the pool. The cap does the same where the comparison is deceived.
 *
 * <p>After a pause the worker is on trial with one slot. Some good answers in a row bring it back,
 * one failure takes it out again for twice as long.
 *
 * <p>Example: of 6 workers each runs 8 requests at once. One begins to fail everything in 1 ms. Its
 * first 5 failures arrive within some milliseconds; the others' share of failures is near 0, so it
 * is taken out, and 2 s later it is tried with one request at a time.
 *
 * <p>It is slow to find a worker that gets little work, as it waits for {@link #LEAST_FAILURES}.
 */
public final class WorkerHealth {
    /** The weight of recent failures from which a worker may be taken out. */
    static final double LEAST_FAILURES = 5;

    /** The share of a pool's workers that may be out at once; one may be of two or more. */
    static final double MOST_OUT_SHARE = 0.25;

    /** Good answers in a row that end a trial. */
    static final int TRIAL_ANSWERS = 3;

    /** The first pause. */
    static final long FIRST_PAUSE_NANOS = 2_000_000_000L;

    /** The longest pause. */
    static final long LONGEST_PAUSE_NANOS = 60_000_000_000L;

    private static final double FAILING_SHARE = 0.8;
    private static final double OTHERS_FAILING_SHARE = 0.4;
    private static final double FADE_NANOS = 5e9;
    private static final int TRIAL_SLOTS = 1;

    private final Map<WorkerId, Record> records = new HashMap<>();
    private int poolWorkers;
    private int outElsewhere;

    /** What may be started on a worker. */
    public enum State {
        /** All its slots are used. */
        IN_USE,
        /** Nothing is started on it. */
        OUT,
        /** One slot is used. */
        ON_TRIAL
    }

    /**
     * Takes the size of the pool.
     *
     * @param workers the workers of the pool, whoever owns them
     * @param takenOutElsewhere how many of them other owners have taken out
     */
    public void pool(int workers, int takenOutElsewhere) {
        poolWorkers = workers;
        outElsewhere = takenOutElsewhere;
    }

    /** Takes the end of one attempt on a worker. */
    public void report(WorkerId worker, RunEnd end, long now) {
        if (end == RunEnd.ANSWERED) {
            report(worker, 1, 0, now);
        } else if (end.blamesWorker()) {
            report(worker, 0, 1, now);
        }
    }

    /** Takes a count of attempts that ended on a worker. */
    public void report(WorkerId worker, int good, int failed, long now) {
        Objects.requireNonNull(worker);
        Record rec = records.computeIfAbsent(worker, id -> new Record());
        rec.fade(now);
        rec.good += good;
        rec.failed += failed;
        switch (rec.state(now)) {
            case IN_USE:
                if (fails(worker, rec, now) && mayTakeOut(worker, now)) {
                    rec.takeOut(now);
                }
                return;
            case ON_TRIAL:
                judgeTrial(rec, good, failed, now);
                return;
            default:
                return;
        }
    }

    private static void judgeTrial(Record rec, int good, int failed, long now) {
        if (failed > 0) {
            rec.takeOut(now);
            return;
        }
        rec.trialAnswers += good;
        if (rec.trialAnswers >= TRIAL_ANSWERS) {
            rec.bringBack();
        }
    }

    private boolean fails(WorkerId worker, Record rec, long now) {
        if (rec.failed < LEAST_FAILURES || rec.failedShare() < FAILING_SHARE) {
            return false;
        }
        double good = 0;
        double failed = 0;
        for (Map.Entry<WorkerId, Record> entry : records.entrySet()) {
            Record other = entry.getValue();
            if (!entry.getKey().equals(worker) && other.state(now) == State.IN_USE) {
                other.fade(now);
                good += other.good;
                failed += other.failed;
            }
        }
        return failed <= OTHERS_FAILING_SHARE * (good + failed);
    }

    private boolean mayTakeOut(WorkerId worker, long now) {
        int out = outElsewhere;
        for (Map.Entry<WorkerId, Record> entry : records.entrySet()) {
            boolean other = !entry.getKey().equals(worker);
            if (other && entry.getValue().state(now) != State.IN_USE) {
                out++;
            }
        }
        int most = Math.max(poolWorkers >= 2 ? 1 : 0, (int) (poolWorkers * MOST_OUT_SHARE));
        return out < most;
    }

    /** Returns what may be started on a worker. */
    public State state(WorkerId worker, long now) {
        Record rec = records.get(worker);
        return rec == null ? State.IN_USE : rec.state(now);
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

    /** Forgets a worker that left the pool or was rebooted. */
    public void forget(WorkerId worker) {
        records.remove(worker);
    }

    private static final class Record {
        private double good;
        private double failed;
        private long fadedNanos;
        private boolean out;
        private long outUntilNanos;
        private long pauseNanos = FIRST_PAUSE_NANOS;
        private int trialAnswers;

        private void fade(long now) {
            double left = Math.exp(-Math.max(0, now - fadedNanos) / FADE_NANOS);
            good *= left;
            failed *= left;
            fadedNanos = now;
        }

        private double failedShare() {
            return failed / (good + failed);
        }

        private State state(long now) {
            if (!out) {
                return State.IN_USE;
            }
            return outUntilNanos - now > 0 ? State.OUT : State.ON_TRIAL;
        }

        private void takeOut(long now) {
            if (out) {
                pauseNanos = Math.min(LONGEST_PAUSE_NANOS, 2 * pauseNanos);
            }
            out = true;
            outUntilNanos = now + pauseNanos;
            trialAnswers = 0;
        }

        private void bringBack() {
            out = false;
            pauseNanos = FIRST_PAUSE_NANOS;
            good = 0;
            failed = 0;
        }
    }
}
