package org.crocusgrade.core.schedule;

import java.util.Optional;

/**
 * One run of a task on one worker, tracked from its start order until it is certain that the run
 * has ended or can never begin.
 */
public final class Placement {
    /** How long after its beginning a run counts as just begun, in nanoseconds. */
    static final long EARLY_NANOS = 300_000_000L;

    /**
     * How long a long-running task must have been at work so that it is no cause of a crash, in
     * nanoseconds.
     */
    private static final long HARMLESS_NANOS = 10_000_000_000L;

    /** The share at which a task works at full speed, in percent. */
    private static final int FULL_PERCENT = 100;

    private final Task task;
    private final WorkerNode worker;
    private final long run;
    private final String checkpoint;
    private final long orderedNanos;
    private Optional<String> ticket = Optional.empty();
    private Phase phase = Phase.STARTING;
    private StopReason stopReason = StopReason.UNWANTED;
    private long absenceProvableAfterNanos;
    private long stopSentNanos;
    private boolean listed;
    private boolean answered;
    private boolean absentSinceUncertain;
    private boolean stopInFlight;
    private boolean stopSent;
    private boolean stopAnswered;
    private int percent;
    private int pacedPercent = FULL_PERCENT;
    private boolean paceInFlight;
    private boolean paceSent;
    private long paceSentNanos;
    private long percentNanos;
    private long load;
    private boolean loadReported;
    private long loadNanos;
    private long progressNanos;
    private String savedProgress;
    private boolean adopted;
    private long begunNanos = Long.MIN_VALUE;
    private long probationNanos;
    private Optional<CopyReason> copyReason = Optional.empty();

    Placement(Task task, WorkerNode worker, long run, String checkpoint, long now) {
        this.task = task;
        this.worker = worker;
        this.run = run;
        this.checkpoint = checkpoint;
        orderedNanos = now;
        percentNanos = now;
        loadNanos = now;
        progressNanos = now;
        savedProgress = checkpoint;
    }

    /** Marks the run as a copy, started because another run of the task is slow. */
    void setCopyReason(CopyReason reason) {
        copyReason = Optional.of(reason);
    }

    /** Returns why the run was started beside another one; empty if it was not. */
    public Optional<CopyReason> copyReason() {
        return copyReason;
    }

    /** Marks a run that another owner has started, so that its start time is unknown. */
    void setAdopted() {
        adopted = true;
    }

    /** Returns whether another owner has started the run. */
    boolean isAdopted() {
        return adopted;
    }

    public Task task() {
        return task;
    }

    public WorkerNode worker() {
        return worker;
    }

    /** Returns the number of the run. */
    public long run() {
        return run;
    }

    /** Returns the checkpoint from which the run starts; empty if there is none. */
    public String checkpoint() {
        return checkpoint;
    }

    /** Returns the advice ticket that the start order carries, if the queue requires one. */
    public Optional<String> ticket() {
        return ticket;
    }

    void setTicket(Optional<String> held) {
        ticket = held;
    }

    /** Returns when the start order was made, in nanoseconds on the monotonic clock. */
    public long orderedNanos() {
        return orderedNanos;
    }

    public Phase phase() {
        return phase;
    }

    /** Returns whether the start order is neither answered nor shown to be carried out. */
    public boolean isStarting() {
        return phase == Phase.STARTING;
    }

    void enter(Phase next, long now) {
        phase = next;
        absenceProvableAfterNanos = now;
    }

    /** Marks the run to be stopped. */
    void requireStop(StopReason reason, long now) {
        stopReason = reason;
        enter(Phase.STOPPING, now);
    }

    /** Marks the start order as unanswered. */
    void setUncertain(long now) {
        stopReason = StopReason.UNANSWERED_START;
        enter(Phase.UNCERTAIN, now);
    }

    /**
     * Records that a report lists the run. A run whose stop order has been sent will end, so it
     * does not become active again.
     */
    void setListed(long now) {
        listed = true;
        if (phase == Phase.UNCERTAIN && stopSent) {
            requireStop(stopReason, now);
        } else if (phase == Phase.STARTING || phase == Phase.UNCERTAIN) {
            setRunning(now);
        }
    }

    /** Starts the run in isolation, for a time that counts from its beginning. */
    void setProbation(long nanos) {
        probationNanos = nanos;
    }

    /** Returns whether the run was started in isolation. */
    public boolean isIsolated() {
        return probationNanos > 0;
    }

    /** Returns whether nothing else may begin on the worker because of this run. */
    boolean isOnProbation(long now) {
        return isIsolated() && (!hasBegun() || now - begunNanos < probationNanos);
    }

    private boolean hasBegun() {
        return begunNanos != Long.MIN_VALUE;
    }

    /** Returns whether the run has just begun, or may have. */
    boolean isEarly(long now) {
        return !adopted && (!hasBegun() || now - begunNanos <= EARLY_NANOS);
    }

    /** Returns whether the run is of a long-running task that has been at work for long. */
    boolean isProvenHarmless(long now) {
        return task.step().spec().longRunning() && hasBegun() && now - begunNanos > HARMLESS_NANOS;
    }

    /** Marks the run as active, which begins its submission. */
    void setRunning(long now) {
        if (!hasBegun()) {
            begunNanos = now;
        }
        enter(Phase.RUNNING, now);
        task.step().submission().setBegun();
    }

    /** Records that a report lacks the run, if it was requested after the start got no answer. */
    void setAbsent(long requestedNanos) {
        absentSinceUncertain |=
                phase == Phase.UNCERTAIN && requestedNanos - absenceProvableAfterNanos > 0;
    }

    /**
     * Returns whether a stop is to be ordered. An unanswered start of a long-running task may be at
     * work, so it is stopped only once a report lacks it, or if its submission has ended: stopping
     * a run at work could make more tasks of the step unavailable than allowed.
     */
    boolean needsStop() {
        if (phase != Phase.UNCERTAIN) {
            return phase == Phase.STOPPING;
        }
        return task.isOver() || absentSinceUncertain || !task.step().spec().longRunning();
    }

    /** Returns why the run is stopped; meaningful only while it is uncertain or to be stopped. */
    StopReason stopReason() {
        return stopReason;
    }

    /** Returns whether a report of this incarnation of the worker has shown the run. */
    boolean isListed() {
        return listed;
    }

    /** Records that this incarnation of the worker has answered the start order. */
    public void setAnswered() {
        answered = true;
    }

    /** Returns whether this incarnation of the worker, and no other, has begun the run. */
    boolean isConfined() {
        return listed || answered;
    }

    /** Returns the time after which a report must be requested to prove that the run is absent. */
    long absenceProvableAfterNanos() {
        return absenceProvableAfterNanos;
    }

    boolean isAtFullShare() {
        return phase == Phase.RUNNING && percent >= FULL_PERCENT && !worker.isSilent();
    }

    long percentNanos() {
        return percentNanos;
    }

    long load() {
        return load;
    }

    /** Returns whether a report has shown the run with a load above 0. */
    boolean isLoadReported() {
        return loadReported;
    }

    /** Returns when a report last showed a load above 0, else when the run was ordered. */
    long loadNanos() {
        return loadNanos;
    }

    /** Returns when the run last reported a new checkpoint, else when it was ordered. */
    long progressNanos() {
        return progressNanos;
    }

    void observeCheckpoint(String saved, long now) {
        if (!saved.isEmpty() && !saved.equals(savedProgress)) {
            savedProgress = saved;
            progressNanos = now;
        }
    }

    void observe(int share, long reportedLoad, long now) {
        if (share != percent) {
            percent = share;
            percentNanos = now;
        }
        if (reportedLoad > 0) {
            loadReported = true;
            loadNanos = now;
        }
        load = reportedLoad;
    }

    /** Returns whether a start or stop order made after the given time is not answered yet. */
    boolean isAwaitingAnswer(long sinceNanos) {
        return phase == Phase.STARTING && orderedNanos - sinceNanos > 0
                || stopInFlight && stopSentNanos - sinceNanos > 0;
    }

    boolean isStopDue(long now, long retryNanos) {
        boolean waits = stopSent && now - stopSentNanos < retryNanos;
        return !stopInFlight && !stopAnswered && !waits;
    }

    void stopSent(long now) {
        stopInFlight = true;
        stopSent = true;
        stopSentNanos = now;
    }

    void stopAnswered(boolean answered, long now) {
        stopInFlight = false;
        stopAnswered |= answered;
        if (answered) {
            absenceProvableAfterNanos = now;
        }
    }

    /**
     * Returns whether an order for a share that the worker has not acknowledged yet should be sent.
     */
    boolean isPaceDue(int wanted, long now, long retryNanos) {
        boolean waits = paceSent && now - paceSentNanos < retryNanos;
        return wanted != pacedPercent && !paceInFlight && !waits;
    }

    void paceSent(long now) {
        paceInFlight = true;
        paceSent = true;
        paceSentNanos = now;
    }

    void paceAnswered(int share, boolean answered) {
        paceInFlight = false;
        if (answered) {
            pacedPercent = share;
            paceSent = false;
        }
    }

    /**
     * Returns whether a report requested at {@code requestedNanos} that lacks the run proves that
     * the run has ended or can never begin.
     */
    boolean isAbsenceCertain(long requestedNanos) {
        boolean mayBeAbsent = phase == Phase.RUNNING || stopAnswered;
        return mayBeAbsent && requestedNanos - absenceProvableAfterNanos > 0;
    }

    /**
     * Why a copy was started.
     *
     * @param ageMillis the age of the slow run
     * @param remainingMillis the expected remaining time of the slow run
     * @param newMillis the expected time of a new run
     */
    public record CopyReason(double ageMillis, double remainingMillis, double newMillis) {}

    /** The state of a run. */
    public enum Phase {
        /** The start order has been made and is not answered yet. */
        STARTING,
        /** The worker has accepted the start order, or reports the run. */
        RUNNING,
        /** The start order got no answer; the run may begin at any time until it is stopped. */
        UNCERTAIN,
        /** The run is to be stopped. */
        STOPPING
    }
}
