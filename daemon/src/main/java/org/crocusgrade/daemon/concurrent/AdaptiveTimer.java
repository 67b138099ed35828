package org.crocusgrade.daemon.concurrent;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

/**
 * Runs a step repeatedly, with a short period while there is work and a long one while there is
 * none, so that an idle daemon uses little CPU on timers. The step runs on the given thread, and
 * {@link #wake} must be called on it.
 */
public final class AdaptiveTimer {
    private final ScheduledExecutorService thread;
    private final Duration busyPeriod;
    private final Duration idlePeriod;
    private final BooleanSupplier busy;
    private final Runnable step;
    private boolean waitsIdlePeriod;
    private long generation;

    /**
     * Creates a timer that is not started.
     *
     * @param busy whether the next period is the busy one
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

    /** Schedules the first run of the step. */
    public void start() {
        thread.execute(this::schedule);
    }

    /**
     * Restarts the wait with the busy period, if the timer waits for the idle period and there is
     * work now.
     */
    public void wake() {
        if (waitsIdlePeriod && busy.getAsBoolean()) {
            schedule();
        }
    }

    private void schedule() {
        boolean isBusy = busy.getAsBoolean();
        waitsIdlePeriod = !isBusy;
        generation++;
        long scheduledGeneration = generation;
        Duration period = isBusy ? busyPeriod : idlePeriod;
        thread.schedule(() -> run(scheduledGeneration), period.toNanos(), TimeUnit.NANOSECONDS);
    }

    private void run(long scheduledGeneration) {
        if (scheduledGeneration != generation) {
            return;
        }
        ControlThread.guard(step);
        schedule();
    }
}
