package org.crocusgrade.core.fleet.plan;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.crocusgrade.core.id.PoolId;

/**
 * Learns from digests when each pool surges, and forecasts each pool's demand over the horizon.
 *
 * <p>Peaks come in turns, so two things are learned: the time between two surges of one pool, and
 * which pool's surge follows which, with the time between their starts. When the turns vary in
 * length, errors add up over a whole round but not over one turn; so the next start of the pool
 * that usually follows the latest one is taken from that, of the pool after it by one more turn,
 * and so on. A pool outside that chain falls back on its own period. A start is forecast as a ramp
 * over its spread rather than as a jump, which gives the mean of the demand over the starts that
 * may be.
 *
 * <p>Worked case: pools a, b, c surge for 8 s each, one after the other. After two rounds the lags
 * a-b, b-c and c-a are 8 s each. 5 s after a started, b is forecast to start in 3 s, c in 11 s and
 * a in 19 s, although digests of b still show quiet.
 */
final class DemandLearner {
    /** Lags that must have been seen before one is relied on. */
    /** Least range of a pool's demand that counts as a surge, in slots. */
    private static final double MIN_RANGE_SLOTS = 6;

    private static final int MIN_SEEN = 2;

    /** Largest spread that is relied on, as part of the time forecast. */
    private static final double MAX_SPREAD_PART = 0.25;

    /** Time that a forecast start may pass unseen before it is given up, besides the spread. */
    private static final double OVERDUE_SECONDS = 2.5;

    /** Time that a surge is expected to go on once it has outlasted the usual, in seconds. */
    private static final double OVERRUN_SECONDS = 0.3;

    /** Least half width of a forecast start's ramp, in seconds. */
    private static final double MIN_RAMP_SECONDS = 0.25;

    /** Links of the chain of turns that are followed. */
    private static final int MAX_CHAIN = 64;

    private final PlanSettings settings;
    private final Map<PoolId, SurgeHistory> histories = new HashMap<>();
    private final Map<PoolId, Map<PoolId, RecentValues>> lags = new HashMap<>();
    private Instant origin;
    private PoolId latest;
    private double latestStart = Double.NaN;

    DemandLearner(PlanSettings settings) {
        this.settings = settings;
    }

    /** Takes in the digests of a view. */
    void observe(FleetView view) {
        Set<PoolId> seen = new HashSet<>();
        for (PoolView p : view.pools()) {
            seen.add(p.pool());
            if (p.demand().isEmpty() || p.demand().get().coverage() < settings.minCoverage()) {
                continue;
            }
            DemandDigest digest = p.demand().get();
            SurgeHistory history =
                    histories.computeIfAbsent(p.pool(), id -> new SurgeHistory(MIN_RANGE_SLOTS));
            if (history.observe(seconds(digest.at()), digest.offeredByAll())) {
                started(p.pool(), history.start());
            }
        }
        histories.keySet().retainAll(seen);
        lags.keySet().retainAll(seen);
    }

    private void started(PoolId pool, double start) {
        if (latest != null && !latest.equals(pool) && start > latestStart) {
            lags.computeIfAbsent(latest, id -> new TreeMap<>())
                    .computeIfAbsent(pool, id -> new RecentValues())
                    .add(start - latestStart);
        }
        latest = pool;
        latestStart = start;
    }

    /** Returns for each pool when its next surge is forecast, in seconds from now. */
    Map<PoolId, Start> starts(Instant at) {
        double now = seconds(at);
        Map<PoolId, Start> starts = new HashMap<>();
        PoolId pool = latest;
        double time = latestStart;
        double spread = 0;
        for (int i = 0; i < MAX_CHAIN && pool != null; i++) {
            PoolId next = follower(pool);
            if (next == null || !histories.containsKey(next) || starts.containsKey(next)) {
                break;
            }
            RecentValues lag = lags.get(pool).get(next);
            time += lag.median();
            spread += lag.spread();
            put(starts, next, time - now, spread);
            pool = next;
        }
        for (Map.Entry<PoolId, SurgeHistory> entry : histories.entrySet()) {
            RecentValues periods = entry.getValue().periods();
            if (starts.containsKey(entry.getKey()) || periods.size() < MIN_SEEN) {
                continue;
            }
            double period = periods.median();
            if (periods.spread() <= period * MAX_SPREAD_PART) {
                double next = entry.getValue().start() + period - now;
                put(starts, entry.getKey(), next, periods.spread());
            }
        }
        return starts;
    }

    private static void put(Map<PoolId, Start> starts, PoolId pool, double in, double spread) {
        if (in + spread + OVERDUE_SECONDS >= 0) {
            starts.put(pool, new Start(in, Math.max(spread, MIN_RAMP_SECONDS)));
        }
    }

    private PoolId follower(PoolId pool) {
        PoolId best = null;
        int seen = MIN_SEEN - 1;
        for (Map.Entry<PoolId, RecentValues> e : lags.getOrDefault(pool, Map.of()).entrySet()) {
            RecentValues lag = e.getValue();
            if (lag.size() > seen && lag.spread() <= lag.median() * MAX_SPREAD_PART) {
                best = e.getKey();
                seen = lag.size();
            }
        }
        return best;
    }

    /** Returns whether the pool surges now. */
    boolean surging(PoolId pool) {
        SurgeHistory history = histories.get(pool);
        return history != null && history.surging();
    }

    /** Returns the pool's demand in slots for each step of the horizon. */
    double[] forecast(PoolId pool, Instant at, Start next) {
        double[] demand = new double[settings.steps()];
        SurgeHistory history = histories.get(pool);
        if (history == null) {
            return demand;
        }
        double step = settings.step().toNanos() / 1e9;
        double end = surgeEnd(history, seconds(at));
        double quiet = history.quiet();
        double peak = history.peak();
        for (int i = 0; i < demand.length; i++) {
            double time = (i + 0.5) * step;
            double level = time < end ? peak : quiet;
            if (next != null && !Double.isNaN(peak)) {
                level = Math.max(level, quiet + (peak - quiet) * surgeShare(history, next, time));
            }
            demand[i] = level;
        }
        return demand;
    }

    private static double surgeEnd(SurgeHistory history, double now) {
        if (!history.surging()) {
            return 0;
        }
        if (history.durations().size() == 0 || Double.isNaN(history.start())) {
            return Double.POSITIVE_INFINITY;
        }
        double end = history.start() + history.durations().median() - now;
        return Math.max(end, OVERRUN_SECONDS);
    }

    private static double surgeShare(SurgeHistory history, Start next, double time) {
        double begun = (time - (next.seconds() - next.spread())) / (2 * next.spread());
        if (history.durations().size() == 0) {
            return clamp(begun);
        }
        double end = next.seconds() + history.durations().median();
        double ended = (time - (end - next.spread())) / (2 * next.spread());
        return clamp(begun) - clamp(ended);
    }

    private static double clamp(double share) {
        return Math.max(0, Math.min(1, share));
    }

    private double seconds(Instant at) {
        if (origin == null) {
            origin = at;
        }
        return Duration.between(origin, at).toNanos() / 1e9;
    }

    /**
     * When a surge is forecast to start.
     *
     * @param seconds the time until then; below 0 if it is overdue
     * @param spread how far the start may be off, in seconds
     */
    record Start(double seconds, double spread) {}
}
