package org.crocusgrade.daemon.concurrent;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Runs a step again and again: often while there is work, seldom while there is none. A daemon
 * without requests then spends little on time that passes. All methods run on the thread.
 */
public final class AdaptiveTimer {
    private final ScheduledExecutorService thread;
    private final Duration busyPeriod;
    private final Duration idlePeriod;
    private final BooleanSupplier busy;
    private final Runnable step;
    private boolean waitsLong;
    private long generation;

    /**
     * Makes a timer that does not run yet.
     *
     * @param busy whether the step is to run at the busy period
     */
    public AdaptiveTimer(
            ScheduledExecutorService thread,
            Duration busyPeriod,
            Duration idlePeriod,
            BooleanSupplier busy,
            Runnable step) {
        this.thread = thread;
        this.busyPeriod = busyPeriod;
        this.idlePeriod = idlePeriod;
        this.busy = busy;
        this.step = step;
    }

    /** Starts to run the step. */
    public void start() {
        thread.execute(this::schedule);
    }

    /** Takes it that work has come: a long wait is cut short. */
    public void wake() {
        if (waitsLong && busy.getAsBoolean()) {
            schedule();
        }
    }

    private void schedule() {
        boolean often = busy.getAsBoolean();
        waitsLong = !often;
        generation++;
        long current = generation;
        Duration period = often ? busyPeriod : idlePeriod;
        thread.schedule(() -> run(current), period.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void run(long scheduled) {
        if (scheduled != generation) {
            return;
        }
        ControlThread.guard(step);
        schedule();
    }
}
