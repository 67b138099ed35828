package org.crocusgrade.core.customer.cap;

/**
 * Divides the cap of one customer for one kind of resource over pools.
 *
 * <p>If all pools can get what they run and want, they get it and equal parts of the rest, so that
 * the next tasks start without a round trip. Otherwise the cap is divided by max-min. What a pool
 * runs, less a tenth of the cap, is the least it gets: a pool whose tasks follow each other without
 * a gap hands over its excess in a few rounds, during which at most a tenth of the cap is unused.
 * With the whole running amount as the least, it would keep that amount as long as it has tasks
 * waiting, and the other pools would get nothing. When more runs than the cap allows, because it
 * was lowered, there is no least amount: limits above it would let ended tasks be replaced.
 */
final class CapDivision {
    private static final int HANDOVER_PARTS = 10;

    private CapDivision() {}

    /**
     * Returns the target of each pool.
     *
     * @param cap the customer's whole cap, from which the step of a handover is derived
     * @param available the part of the cap to divide
     */
    static long[] divide(long cap, long available, long[] running, long[] wanted) {
        int n = running.length;
        long[] targets = new long[n];
        long rest = available;
        for (int i = 0; i < n; i++) {
            targets[i] = running[i] + wanted[i];
            rest -= targets[i];
        }
        if (rest >= 0) {
            for (int i = 0; i < n; i++) {
                targets[i] += rest / n;
            }
            return targets;
        }
        long[] least = new long[n];
        long leastSum = 0;
        for (int i = 0; i < n; i++) {
            least[i] = Math.max(0, running[i] - cap / HANDOVER_PARTS);
            leastSum += least[i];
        }
        if (leastSum > available) {
            least = new long[n];
        }
        long low = 0;
        long high = Math.max(0, available);
        while (low < high) {
            long level = (low + high + 1) / 2;
            if (sumAt(level, least, targets) <= available) {
                low = level;
            } else {
                high = level - 1;
            }
        }
        for (int i = 0; i < n; i++) {
            targets[i] = Math.max(least[i], Math.min(targets[i], low));
        }
        return targets;
    }

    private static long sumAt(long level, long[] least, long[] demand) {
        long sum = 0;
        for (int i = 0; i < least.length; i++) {
            sum += Math.max(least[i], Math.min(demand[i], level));
        }
        return sum;
    }

    /**
     * Returns targets that give one pool all that the others do not use, so that a task fits that
     * is larger than an equal part. The running amounts must be within what is available.
     */
    static long[] concentrate(long available, long[] running, long[] wanted, int favoured) {
        long[] targets = running.clone();
        long rest = available;
        for (long amount : running) {
            rest -= amount;
        }
        targets[favoured] += Math.max(0, Math.min(rest, wanted[favoured]));
        return targets;
    }

    /**
     * Reduces raised targets to what fits, in proportion to the raises.
     *
     * @param room what may be added to the counted amounts
     */
    static void limitRaises(long room, long[] counted, long[] targets) {
        long raises = 0;
        for (int i = 0; i < targets.length; i++) {
            raises += Math.max(0, targets[i] - counted[i]);
        }
        if (raises <= room) {
            return;
        }
        double part = room <= 0 ? 0 : (double) room / raises;
        for (int i = 0; i < targets.length; i++) {
            if (targets[i] > counted[i]) {
                targets[i] = counted[i] + (long) ((targets[i] - counted[i]) * part);
            }
        }
    }
}
