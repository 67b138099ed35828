package org.crocusgrade.core.schedule;

/** Measures how much work arrives, over a short window. */
public final class ArrivalMeter {
    /** The window: long enough for some arrivals, short against a surge. */
    private static final long BUCKET_NANOS = 100_000_000L;

    private static final int BUCKETS = 8;
    private static final double BUCKET_MILLIS = 100;

    private final double[] work = new double[BUCKETS];
    private final long[] slots = new long[BUCKETS];

    /** Takes work that arrives, accepted or not, in core-milliseconds. */
    public void add(long now, double coreMillis) {
        long slot = Math.floorDiv(now, BUCKET_NANOS);
        int i = (int) Math.floorMod(slot, BUCKETS);
        if (slots[i] != slot) {
            slots[i] = slot;
            work[i] = 0;
        }
        work[i] += coreMillis;
    }

    /** Returns the processors that would do the work as it arrives, in thousandths of a core. */
    public long milliCores(long now) {
        long slot = Math.floorDiv(now, BUCKET_NANOS);
        double sum = 0;
        for (int i = 0; i < BUCKETS; i++) {
            if (slot - slots[i] < BUCKETS && slots[i] <= slot) {
                sum += work[i];
            }
        }
        return Math.round(sum / (BUCKETS * BUCKET_MILLIS) * 1000);
    }
}
