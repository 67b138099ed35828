package org.crocusgrade.daemon.batch;

import java.time.Instant;
import java.util.PriorityQueue;
import org.crocusgrade.core.port.Clock;

/**
 * The clock of a simulation: steps run in order of their times, and time advances only in {@link
 * #run}.
 */
final class SimTime implements Clock {
    private static final Instant ORIGIN = Instant.parse("2026-01-01T00:00:00Z");

    private final PriorityQueue<Step> steps = new PriorityQueue<>();
    private long now = 1_000_000_000L;
    private long sequence;
    private long suspendedNanos;

    @Override
    public Instant now() {
        return ORIGIN.plusNanos(now + suspendedNanos);
    }

    /** Suspends all hosts: the wall clock advances, the monotonic clock does not. */
    void suspend(long millis) {
        suspendedNanos += millis * 1_000_000;
    }

    @Override
    public long nanoTime() {
        return now;
    }

    long millis() {
        return now / 1_000_000;
    }

    void at(long nanos, Runnable step) {
        steps.add(new Step(Math.max(now, nanos), sequence++, step));
    }

    void afterMillis(long millis, Runnable step) {
        at(now + millis * 1_000_000, step);
    }

    /** Advances the time and runs all steps that are due meanwhile. */
    void run(long millis) {
        long end = now + millis * 1_000_000;
        while (!steps.isEmpty() && steps.peek().nanos <= end) {
            Step step = steps.remove();
            now = step.nanos;
            step.body.run();
        }
        now = end;
    }

    private record Step(long nanos, long sequence, Runnable body) implements Comparable<Step> {
        @Override
        public int compareTo(Step other) {
            int order = Long.compare(nanos, other.nanos);
            return order != 0 ? order : Long.compare(sequence, other.sequence);
        }
    }
}
