package org.crocusgrade.core.fleet;

import java.util.concurrent.atomic.AtomicReference;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;

/**
 * A slot that this daemon holds by lease. Any thread may acquire and release it; only the control
 * thread of its {@link SlotPool} renews or returns it.
 */
public final class Slot {
    /** The use of the slot; RETURNED is final, and a slot that is granted again is a new object. */
    enum State {
        IDLE,
        RUNNING,
        RETURNED
    }

    private final WorkerId worker;
    private final PoolId pool;
    private final AvailabilityZone zone;
    private final int index;
    private final AtomicReference<State> state = new AtomicReference<>(State.IDLE);
    private volatile long endNanos;
    private volatile boolean recalled;
    private volatile long idleSinceNanos;

    DaemonId owner;

    /**
     * The sequence of the first demand message to the current owner that reported this slot; 0 if
     * none has.
     */
    long firstSequence;

    Slot(DaemonId owner, WorkerId worker, PoolId pool, AvailabilityZone zone, int index) {
        this.owner = owner;
        this.worker = worker;
        this.pool = pool;
        this.zone = zone;
        this.index = index;
    }

    /** Returns the worker that the slot is on. */
    public WorkerId worker() {
        return worker;
    }

    /** Returns the pool that the slot may serve. */
    public PoolId pool() {
        return pool;
    }

    /** Returns the worker's availability zone. */
    public AvailabilityZone zone() {
        return zone;
    }

    /** Returns the slot's number on its worker. */
    public int index() {
        return index;
    }

    /**
     * Returns whether the lease has not ended; to be checked immediately before the request is
     * written.
     */
    public boolean isValid(long nanoTime) {
        return nanoTime - endNanos < 0;
    }

    /** Returns the monotonic time at which the lease ends unless it is renewed, in ns. */
    public long endNanos() {
        return endNanos;
    }

    long bit() {
        return 1L << index;
    }

    long idleSinceNanos() {
        return idleSinceNanos;
    }

    void touch(long nanoTime) {
        idleSinceNanos = nanoTime;
    }

    void renew(long newEndNanos) {
        endNanos = newEndNanos;
    }

    boolean isRecalled() {
        return recalled;
    }

    void recall(boolean value) {
        recalled = value;
    }

    /**
     * Marks the slot as running; returns false if it is in use, returned, recalled or its lease has
     * ended.
     */
    boolean tryTake(long nanoTime) {
        if (recalled || !isValid(nanoTime) || state.get() != State.IDLE) {
            return false;
        }
        return state.compareAndSet(State.IDLE, State.RUNNING);
    }

    /**
     * Marks the slot as idle, or as returned if it is recalled; returns false if no request runs on
     * it.
     */
    boolean finish(long nanoTime) {
        idleSinceNanos = nanoTime;
        State next = recalled ? State.RETURNED : State.IDLE;
        return state.compareAndSet(State.RUNNING, next);
    }

    /** Marks the slot as returned; returns false if it is not idle. */
    boolean returnIfIdle() {
        return state.compareAndSet(State.IDLE, State.RETURNED);
    }

    boolean isRunning() {
        return state.get() == State.RUNNING;
    }

    boolean isReturned() {
        return state.get() == State.RETURNED;
    }

    boolean isIdle() {
        return state.get() == State.IDLE;
    }
}
