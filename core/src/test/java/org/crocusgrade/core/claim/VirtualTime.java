package org.crocusgrade.core.claim;

import java.time.Instant;
import java.util.List;
import java.util.PriorityQueue;
import java.util.concurrent.AbstractExecutorService;
import java.util.concurrent.Callable;
import java.util.concurrent.Delayed;
import java.util.concurrent.FutureTask;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.crocusgrade.core.port.Clock;

/**
 * A clock and an executor in virtual time, which advances only when a test runs the scheduled
 * tasks.
 */
final class VirtualTime extends AbstractExecutorService implements ScheduledExecutorService, Clock {
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    private final PriorityQueue<Task> tasks = new PriorityQueue<>();
    private long now;
    private long count;

    @Override
    public Instant now() {
        return START.plusNanos(now);
    }

    @Override
    public long nanoTime() {
        return now;
    }

    /** Advances the time to the next task and runs it; returns false if there is none. */
    boolean runNext() {
        Task task = tasks.poll();
        if (task == null) {
            return false;
        }
        now = Math.max(now, task.at);
        task.run();
        return true;
    }

    /** Runs all tasks that become due within the given duration, and advances the time by it. */
    void runFor(long nanos) {
        long end = now + nanos;
        while (!tasks.isEmpty() && tasks.peek().at <= end) {
            runNext();
        }
        now = end;
    }

    @Override
    public void execute(Runnable command) {
        tasks.add(new Task(command, now, count++));
    }

    @Override
    public ScheduledFuture<?> schedule(Runnable command, long delay, TimeUnit unit) {
        Task task = new Task(command, now + unit.toNanos(delay), count++);
        tasks.add(task);
        return task;
    }

    @Override
    public <V> ScheduledFuture<V> schedule(Callable<V> callable, long delay, TimeUnit unit) {
        throw new UnsupportedOperationException();
    }

    @Override
    public ScheduledFuture<?> scheduleAtFixedRate(
            Runnable command, long initialDelay, long period, TimeUnit unit) {
        throw new UnsupportedOperationException();
    }

    @Override
    public ScheduledFuture<?> scheduleWithFixedDelay(
            Runnable command, long initialDelay, long delay, TimeUnit unit) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void shutdown() {}

    @Override
    public List<Runnable> shutdownNow() {
        return List.of();
    }

    @Override
    public boolean isShutdown() {
        return false;
    }

    @Override
    public boolean isTerminated() {
        return false;
    }

    @Override
    public boolean awaitTermination(long timeout, TimeUnit unit) {
        return true;
    }

    private final class Task extends FutureTask<Void> implements ScheduledFuture<Void> {
        private final long at;
        private final long order;

        Task(Runnable command, long at, long order) {
            super(command, null);
            this.at = at;
            this.order = order;
        }

        @Override
        protected void setException(Throwable failure) {
            throw new AssertionError("a task failed", failure);
        }

        @Override
        public long getDelay(TimeUnit unit) {
            return unit.convert(at - now, TimeUnit.NANOSECONDS);
        }

        @Override
        public int compareTo(Delayed other) {
            Task task = (Task) other;
            int byTime = Long.compare(at, task.at);
            return byTime != 0 ? byTime : Long.compare(order, task.order);
        }
    }
}
