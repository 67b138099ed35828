package org.crocusgrade.core.schedule;

/**
 * The work that would be served before a new submission.
 *
 * <p>Load: one customer submits several times its rate. What it submits beyond its rate yields to
 * all that others submit, so it has to fit in beside the work that is still to arrive.
 *
 * @param inTime the work before it as long as it can meet its objective
 * @param late the work before it once it can not: in addition, all work that still can
 * @param arriving the part of {@code late} that was accepted in the last second; as much is
 *     expected to arrive in each of the next seconds
 */
record Backlog(Work inTime, Work late, Work arriving) {
    private static final double MILLIS_PER_SECOND = 1000;

    /**
     * Returns the work before a late submission, with the work that arrives while it is done, at
     * most until the horizon: with half of the capacity used up by it, twice the time is needed.
     */
    Work expectedLate(BatchCapacity capacity, double horizonMillis) {
        double part = capacity.millisFor(arriving) / MILLIS_PER_SECOND;
        double wait = capacity.millisFor(late);
        double millis = part < 1 ? Math.min(horizonMillis, wait / (1 - part)) : horizonMillis;
        return late.plus(arriving.times(late.isNone() ? 0 : millis / MILLIS_PER_SECOND));
    }
}
