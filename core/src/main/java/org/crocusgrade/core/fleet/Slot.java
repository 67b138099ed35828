package org.crocusgrade.core.fleet;

import java.util.concurrent.atomic.AtomicReference;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;

/**
 * One slot that this daemon holds by lease. Any thread may take and release it; only the control
 * thread of its {@link SlotPool} renews or returns it.
 */
public final class Slot {
    enum Use {
        IDLE,
        RUNNING,
        RETURNED
    }

    private final WorkerId worker;
    private final PoolId pool;
    private final AvailabilityZone zone;
    private final int index;
    private final AtomicReference<Use> use = new AtomicReference<>(Use.IDLE);
    private volatile long endNanos;
    private volatile boolean recalled;
    private volatile long idleSinceNanos;

    DaemonId owner;
    long firstStated;

    Slot(DaemonId owner, WorkerId worker, PoolId pool, AvailabilityZone zone, int index) {
        this.owner = owner;
        this.worker = worker;
        this.pool = pool;
        this.zone = zone;
        this.index = index;
    }

    /** Returns the worker. */
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

    /** Returns whether the lease lasts; to be asked immediately before the request is written. */
    public boolean isValid(long nanoTime) {
        return nanoTime - endNanos < 0;
    }

    /** Returns the monotonic time at which the lease ends unless it is renewed. */
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

    void renew(long end) {
        endNanos = end;
    }

    boolean isRecalled() {
        return recalled;
    }

    void recall(boolean value) {
        recalled = value;
    }

    boolean take(long nanoTime) {
        if (recalled || !isValid(nanoTime) || use.get() != Use.IDLE) {
            return false;
        }
        return use.compareAndSet(Use.IDLE, Use.RUNNING);
    }

    boolean finish(long nanoTime) {
        idleSinceNanos = nanoTime;
        Use next = recalled ? Use.RETURNED : Use.IDLE;
        return use.compareAndSet(Use.RUNNING, next);
    }

    boolean giveBack() {
        return use.compareAndSet(Use.IDLE, Use.RETURNED);
    }

    boolean isRunning() {
        return use.get() == Use.RUNNING;
    }

    boolean isReturned() {
        return use.get() == Use.RETURNED;
    }

    boolean isIdle() {
        return use.get() == Use.IDLE;
    }
}
