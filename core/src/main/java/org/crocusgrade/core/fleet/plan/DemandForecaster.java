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
 * Detects the surges of each pool from its demand digests and forecasts each pool's demand over the
 * horizon.
 *
 * <p>Idea: pools surge in turns, so two statistics are kept: the period between two surges of one
 * pool, and for each pool the pools that surged next, with the lag between the two starts. When
 * surges vary in length, errors add up over a whole round of pools but not from one surge to the
 * next. Therefore the start of the pool that usually follows the latest surge is forecast by its
 * lag from that surge, the start of the pool after it by one more lag, and so on. A pool outside
 * this chain is forecast by its own period. A start is forecast as a ramp over its spread rather
 * than as a step, which gives the mean of the demand over the possible start times.
 *
 * <p>Worked case: pools a, b, c surge for 8 s each, one after the other. After two rounds the lags
 * a-b, b-c and c-a are 8 s each. 5 s after the surge of a started, that of b is forecast in 3 s, of
 * c in 11 s and of a in 19 s, although the digests of b still show its quiet level.
 */
final class DemandForecaster {
    /** Minimum range of a pool's demand for its peaks to count as surges, in slots. */
    private static final double MIN_RANGE_SLOTS = 6;

    /** Minimum number of lags or periods for a forecast. */
    private static final int MIN_SAMPLES = 2;

    /** Maximum spread of lags or periods for a forecast, as a fraction of their median. */
    private static final double MAX_RELATIVE_SPREAD = 0.25;

    /**
     * Time after which a forecast start that was not observed is dropped, in addition to its
     * spread.
     */
    private static final double OVERDUE_SECONDS = 2.5;

    /** Remaining time assumed for a surge that has outlasted the median duration. */
    private static final double OVERRUN_SECONDS = 0.3;

    /** Minimum half width of the ramp of a forecast start. */
    private static final double MIN_RAMP_SECONDS = 0.25;

    /** Maximum number of lags followed from the latest surge. */
    private static final int MAX_CHAIN_LINKS = 64;

    private final PlanSettings settings;
    private final Map<PoolId, SurgeHistory> histories = new HashMap<>();
    private final Map<PoolId, Map<PoolId, RecentValues>> lags = new HashMap<>();
    private Instant origin;
    private PoolId latestPool;
    private double latestStart = Double.NaN;

    DemandForecaster(PlanSettings settings) {
        this.settings = settings;
    }

    /**
     * Adds the digests of a view; digests with too low coverage are ignored, and the history of
     * pools that are not in the view is dropped.
     */
    void observe(FleetView view) {
        Set<PoolId> viewedPools = new HashSet<>();
        for (PoolView p : view.pools()) {
            viewedPools.add(p.pool());
            if (p.demand().isEmpty() || p.demand().get().coverage() < settings.minCoverage()) {
                continue;
            }
            DemandDigest digest = p.demand().get();
            SurgeHistory history =
                    histories.computeIfAbsent(p.pool(), id -> new SurgeHistory(MIN_RANGE_SLOTS));
            if (history.observe(seconds(digest.at()), digest.offeredByAll())) {
                recordStart(p.pool(), history.start());
            }
        }
        histories.keySet().retainAll(viewedPools);
        lags.keySet().retainAll(viewedPools);
    }

    private void recordStart(PoolId pool, double start) {
        if (latestPool != null && !latestPool.equals(pool) && start > latestStart) {
            lags.computeIfAbsent(latestPool, id -> new TreeMap<>())
                    .computeIfAbsent(pool, id -> new RecentValues())
                    .add(start - latestStart);
        }
        latestPool = pool;
        latestStart = start;
    }

    /** Returns the forecast start of the next surge, for each pool that has a forecast. */
    Map<PoolId, Start> starts(Instant at) {
        double now = seconds(at);
        Map<PoolId, Start> starts = new HashMap<>();
        PoolId pool = latestPool;
        double time = latestStart;
        double spread = 0;
        for (int i = 0; i < MAX_CHAIN_LINKS && pool != null; i++) {
            PoolId next = follower(pool);
            if (next == null || !histories.containsKey(next) || starts.containsKey(next)) {
                break;
            }
            RecentValues lag = lags.get(pool).get(next);
            time += lag.median();
            spread += lag.spread();
            addStart(starts, next, time - now, spread);
            pool = next;
        }
        for (Map.Entry<PoolId, SurgeHistory> entry : histories.entrySet()) {
            RecentValues periods = entry.getValue().periods();
            if (starts.containsKey(entry.getKey()) || periods.size() < MIN_SAMPLES) {
                continue;
            }
            double period = periods.median();
            if (periods.spread() <= period * MAX_RELATIVE_SPREAD) {
                double next = entry.getValue().start() + period - now;
                addStart(starts, entry.getKey(), next, periods.spread());
            }
        }
        return starts;
    }

    private static void addStart(
            Map<PoolId, Start> starts, PoolId pool, double delay, double spread) {
        if (delay + spread + OVERDUE_SECONDS >= 0) {
            starts.put(pool, new Start(delay, Math.max(spread, MIN_RAMP_SECONDS)));
        }
    }

    /** Returns the pool that has surged next most often with a steady lag, or null. */
    private PoolId follower(PoolId pool) {
        PoolId best = null;
        int samples = MIN_SAMPLES - 1;
        for (Map.Entry<PoolId, RecentValues> e : lags.getOrDefault(pool, Map.of()).entrySet()) {
            RecentValues lag = e.getValue();
            if (lag.size() > samples && lag.spread() <= lag.median() * MAX_RELATIVE_SPREAD) {
                best = e.getKey();
                samples = lag.size();
            }
        }
        return best;
    }

    /** Returns whether the pool surges now. */
    boolean surging(PoolId pool) {
        SurgeHistory history = histories.get(pool);
        return history != null && history.surging();
    }

    /**
     * Returns the pool's demand in slots for each step of the horizon; 0 if no digest of it was
     * ever used.
     *
     * @param next the forecast start of its next surge, or null
     */
    double[] forecast(PoolId pool, Instant at, Start next) {
        double[] demand = new double[settings.steps()];
        SurgeHistory history = histories.get(pool);
        if (history == null) {
            return demand;
        }
        double step = settings.step().toNanos() / 1e9;
        double end = surgeEnd(history, seconds(at));
        double quiet = history.quietLevel();
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

    /** Returns the time from now to the end of the current surge; 0 if the pool is not surging. */
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

    /** Returns the expected fraction of the surge's rise at a time, from 0 (quiet) to 1 (peak). */
    private static double surgeShare(SurgeHistory history, Start next, double time) {
        double risen = (time - (next.seconds() - next.spread())) / (2 * next.spread());
        if (history.durations().size() == 0) {
            return clamp(risen);
        }
        double end = next.seconds() + history.durations().median();
        double fallen = (time - (end - next.spread())) / (2 * next.spread());
        return clamp(risen) - clamp(fallen);
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
     * The forecast start of a surge.
     *
     * @param seconds the time until the start; negative if it is overdue
     * @param spread how far the actual start may deviate either way, in seconds
     */
    record Start(double seconds, double spread) {}
}
