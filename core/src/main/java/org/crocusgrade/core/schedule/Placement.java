package org.crocusgrade.core.schedule;

import java.util.Optional;

/** One run of a task on one worker, from the order to start it until its end is certain. */
public final class Placement {
    /** A task at this share works fully, in percent. */
    private static final int FULL_PERCENT = 100;

    private final Task task;
    private final WorkerNode worker;
    private final long run;
    private final String checkpoint;
    private final long orderedNanos;
    private Optional<String> ticket = Optional.empty();
    private Phase phase = Phase.STARTING;
    private long settledNanos;
    private long stopSentNanos;
    private boolean listed;
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

    Placement(Task task, WorkerNode worker, long run, String checkpoint, long now) {
        this.task = task;
        this.worker = worker;
        this.run = run;
        this.checkpoint = checkpoint;
        orderedNanos = now;
        percentNanos = now;
    }

    /** Returns the task. */
    public Task task() {
        return task;
    }

    /** Returns the worker. */
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

    /** Returns the ticket that the start carries, if the queue asks for advice. */
    public Optional<String> ticket() {
        return ticket;
    }

    void setTicket(Optional<String> held) {
        ticket = held;
    }

    /** Returns when the order was made. */
    public long orderedNanos() {
        return orderedNanos;
    }

    /** Returns where the run stands. */
    public Phase phase() {
        return phase;
    }

    void enter(Phase next, long now) {
        phase = next;
        settledNanos = now;
    }

    /**
     * Returns whether a list of this incarnation of the worker has shown the run. An answer to a
     * start does not tell which incarnation gave it.
     */
    boolean isListed() {
        return listed;
    }

    /** Returns since when the phase holds. */
    long settledNanos() {
        return settledNanos;
    }

    boolean isAtWork() {
        return phase == Phase.RUNNING && percent >= FULL_PERCENT && !worker.isSilent();
    }

    long percentNanos() {
        return percentNanos;
    }

    long load() {
        return load;
    }

    void observe(int share, long seenLoad, long now) {
        listed = true;
        if (share != percent) {
            percent = share;
            percentNanos = now;
        }
        load = seenLoad;
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
            settledNanos = now;
        }
    }

    /** Returns whether the worker should be told a share that it has not been told yet. */
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

    /** Returns whether a list that was asked for at a time proves the run's absence. */
    boolean isAbsenceCertain(long listAskedNanos) {
        boolean settled = phase == Phase.RUNNING || stopAnswered;
        return settled && listAskedNanos - settledNanos > 0;
    }

    /** Where a run stands. */
    public enum Phase {
        /** The order is on its way. */
        STARTING,
        /** The worker has taken the order, or lists the run. */
        RUNNING,
        /** The order got no answer; the run may begin at any time until it is stopped. */
        UNCERTAIN,
        /** It is to be stopped. */
        STOPPING
    }
}
