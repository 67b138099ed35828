package org.crocusgrade.daemon.batch;

import java.util.List;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

/** The event loop of one simulated daemon, which can be killed or frozen. */
final class SimLoop extends AbstractExecutorService implements ScheduledExecutorService {
    private final SimTime time;
    private boolean killed;
    private long frozenUntil;
    private long busyUntil;

    SimLoop(SimTime time) {
        this.time = time;
    }

    void kill() {
        killed = true;
    }

    void freeze(long millis) {
        frozenUntil = time.nanoTime() + millis * 1_000_000;
    }

    /**
     * Executes a step that keeps the loop busy for some time after it; steps that are due meanwhile
     * wait.
     */
    void execute(Runnable step, long costNanos) {
        execute(
                () -> {
                    busyUntil = Math.max(busyUntil, time.nanoTime()) + costNanos;
                    step.run();
                });
    }

    @Override
    public void execute(Runnable step) {
        time.at(time.nanoTime(), () -> run(step));
    }

    private void run(Runnable step) {
        if (killed) {
            return;
        }
        long free = Math.max(frozenUntil, busyUntil);
        if (time.nanoTime() < free) {
            time.at(free, () -> run(step));
            return;
        }
        step.run();
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable step, long delay, TimeUnit unit) {
        SimFuture future = new SimFuture(step);
        time.at(time.nanoTime() + unit.toNanos(delay), () -> run(future));
        return future;
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(
            Runnable step, long initial, long delay, TimeUnit unit) {
        SimFuture future = new SimFuture(step);
        time.at(
                time.nanoTime() + unit.toNanos(initial),
                () -> run(() -> repeat(step, delay, unit)));
        return future;
    }

    private void repeat(Runnable step, long delay, TimeUnit unit) {
        step.run();
        time.at(time.nanoTime() + unit.toNanos(delay), () -> run(() -> repeat(step, delay, unit)));
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(
            Runnable step, long initial, long period, TimeUnit unit) {
        return scheduleWithFixedDelay(step, initial, period, unit);
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> step, long delay, TimeUnit unit) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void shutdown() {
        killed = true;
    }

    @Override
    public List<Runnable> shutdownNow() {
        killed = true;
        return List.of();
    }

    @Override
    public boolean isShutdown() {
        return killed;
    }

    @Override
    public boolean isTerminated() {
        return killed;
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) {
        return killed;
    }

    private static final class SimFuture extends FutureTask<Object>
            implements ScheduledFuture<Object> {
        SimFuture(Runnable step) {
            super(step, null);
        }

        @Override
        public long getDelay(TimeUnit unit) {
            return 0;
        }

        @Override
        public int compareTo(Delayed other) {
            return 0;
        }
    }
}
