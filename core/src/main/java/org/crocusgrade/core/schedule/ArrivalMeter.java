package org.crocusgrade.core.schedule;

/** Measures what arrives, over a short window. */
public final class ArrivalMeter {
    /** The window is long enough for some submissions in a surge, and short against the surge. */
    private static final long BUCKET_NANOS = 100_000_000L;

    private static final int BUCKETS = 12;
    private static final double BUCKET_MILLIS = 100;

    private final double[] work = new double[BUCKETS];
    private final int[] submissions = new int[BUCKETS];
    private final long[] slots = new long[BUCKETS];

    /** Takes a submission that arrives, accepted or not, with its work in core-milliseconds. */
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

    /** Returns the processors that would do the work as it arrives, in thousandths of a core. */
    public long milliCores(long now) {
        double sum = 0;
        for (int i = 0; i < BUCKETS; i++) {
            sum += isInWindow(i, now) ? work[i] : 0;
        }
        return Math.round(sum / (BUCKETS * BUCKET_MILLIS) * 1000);
    }

    /** Returns how many submissions have arrived in the window. */
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
