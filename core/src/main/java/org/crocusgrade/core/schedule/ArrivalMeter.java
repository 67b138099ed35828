package org.crocusgrade.core.schedule;

import java.time.Duration;

/** Measures the work and the number of submissions that arrive, over a sliding window of 1.2 s. */
public final class ArrivalMeter {
    /**
     * The window of 12 buckets covers several submissions during a surge, yet is short compared
     * with the surge.
     */
    private static final long BUCKET_NANOS = 100_000_000L;

    private static final int BUCKETS = 12;

    /** The time that a measurement covers. */
    public static final Duration WINDOW = Duration.ofNanos(BUCKETS * BUCKET_NANOS);

    private static final double BUCKET_MILLIS = 100;

    private final double[] work = new double[BUCKETS];
    private final int[] submissions = new int[BUCKETS];
    private final long[] slots = new long[BUCKETS];

    /** Records a submission that arrives, accepted or not, with its work in core-milliseconds. */
    public void add(long now, double coreMillis) {
        long slot = Math.floorDiv(now, BUCKET_NANOS);
        int i = Math.floorMod(slot, BUCKETS);
        if (slots[i] != slot) {
            slots[i] = slot;
            work[i] = 0;
            submissions[i] = 0;
        }
        work[i] += coreMillis;
        submissions[i]++;
    }

    /**
     * Returns the processors needed to do the work at the rate at which it arrives, in thousandths
     * of a core.
     */
    public long milliCores(long now) {
        double sum = 0;
        for (int i = 0; i < BUCKETS; i++) {
            sum += isInWindow(i, now) ? work[i] : 0;
        }
        return Math.round(sum / (BUCKETS * BUCKET_MILLIS) * 1000);
    }

    /** Returns how many submissions have arrived within the window. */
    public int submissions(long now) {
        int sum = 0;
        for (int i = 0; i < BUCKETS; i++) {
            sum += isInWindow(i, now) ? submissions[i] : 0;
        }
        return sum;
    }

    private boolean isInWindow(int bucket, long now) {
        long slot = Math.floorDiv(now, BUCKET_NANOS);
        return slot - slots[bucket] < BUCKETS && slots[bucket] <= slot;
    }
}
