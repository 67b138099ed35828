package org.crocusgrade.core.fleet.plan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.crocusgrade.core.id.ServiceId;

/**
 * Forecasts which pool surges next when pools surge in turns, from few surges.
 *
 * <p>The lag between the starts of two surges in a row is much the same for all pools, so it is
 * learned from all of them together. Which pool comes next is known from the last time that the
 * latest one surged; before that, a single pool that has not surged yet is the one left. Worked
 * case: a starts at 0 s, b at 4.5 s, c at 9 s, and d has not surged: d is forecast for 13.5 s. When
 * a starts at 18 s, b is forecast for 22.5 s.
 */
public final class TurnForecast {
    /** A start that has not come this long after its time is given up, in seconds. */
    private static final double OVERDUE_SECONDS = 1.5;

    /** Submissions in the window with which a surge may start: a single one may just be large. */
    private static final int FEWEST_AT_START = 2;

    /** Submissions in the window without which a surge is over. */
    private static final int FEWEST_IN_SURGE = 1;

    /** A surge is of at least so many cores, a few hosts' worth: less needs no host to move. */
    private static final double LEAST_CORES = 40;

    private final Map<ServiceId, SurgeHistory> pools = new HashMap<>();
    private final Map<ServiceId, ServiceId> followers = new HashMap<>();
    private RecentValues lags = new RecentValues();
    private Optional<ServiceId> latest = Optional.empty();
    private double latestStart = Double.NaN;

    /**
     * Takes what a pool is asked for.
     *
     * @param at the time, in seconds from any origin
     * @param cores the work that arrives, in core-seconds a second
     * @param submissions how many submissions it came with
     * @return whether a surge of the pool has started
     */
    public boolean observe(ServiceId pool, double at, double cores, int submissions) {
        SurgeHistory history = pools.computeIfAbsent(pool, p -> new SurgeHistory(LEAST_CORES));
        boolean few = submissions < (history.surging() ? FEWEST_IN_SURGE : FEWEST_AT_START);
        if (!history.observe(at, few ? 0 : cores)) {
            return false;
        }
        double start = history.start();
        if (latest.isPresent() && !latest.get().equals(pool) && start > latestStart) {
            lags.add(start - latestStart);
            followers.put(latest.get(), pool);
        }
        latest = Optional.of(pool);
        latestStart = start;
        return true;
    }

    /** Returns what was learned, for another forecast to go on from. */
    public TurnSnapshot memory(double now) {
        List<TurnSnapshot.PoolSnapshot> known = new ArrayList<>();
        pools.forEach(
                (pool, history) -> {
                    if (history.hasRange()) {
                        Optional<ServiceId> next = Optional.ofNullable(followers.get(pool));
                        known.add(history.memory(pool, next, now));
                    }
                });
        return new TurnSnapshot(lags.values(), latest, known);
    }

    /** Forgets all and goes on from what another forecast has learned. */
    public void restore(TurnSnapshot memory, double now) {
        pools.clear();
        followers.clear();
        lags = new RecentValues();
        memory.lags().forEach(lags::add);
        latest = Optional.empty();
        latestStart = Double.NaN;
        for (TurnSnapshot.PoolSnapshot known : memory.pools()) {
            pools.put(known.pool(), new SurgeHistory(LEAST_CORES, known, now));
            known.follower().ifPresent(f -> followers.put(known.pool(), f));
            if (memory.latest().equals(Optional.of(known.pool()))) {
                latest = memory.latest();
                latestStart = now - known.sinceStart();
            }
        }
    }

    /** Returns whether a pool surges now. */
    public boolean isSurging(ServiceId pool) {
        SurgeHistory history = pools.get(pool);
        return history != null && history.surging();
    }

    /** Returns how long a surge is still expected to last, in seconds; 0 if there is none. */
    public double surgeLeft(ServiceId pool, double now) {
        if (!isSurging(pool)) {
            return 0;
        }
        double length = lags.size() > 0 ? lags.median() : Double.POSITIVE_INFINITY;
        return Math.max(0, pools.get(pool).start() + length - now);
    }

    /** Returns what a pool is asked for in a surge, in cores; of another pool if need be. */
    public double peak(ServiceId pool) {
        SurgeHistory history = pools.get(pool);
        double own = history == null ? Double.NaN : history.peak();
        if (!Double.isNaN(own)) {
            return own;
        }
        double other = latest.map(p -> pools.get(p).peak()).orElse(Double.NaN);
        return Double.isNaN(other) ? 0 : other;
    }

    /** Returns the pool that surges next and when, if that can be told. */
    public Optional<Next> next(double now) {
        if (latest.isEmpty() || lags.size() == 0) {
            return Optional.empty();
        }
        double start = latestStart + lags.median();
        if (now - start > OVERDUE_SECONDS) {
            return Optional.empty();
        }
        Optional<ServiceId> pool = Optional.ofNullable(followers.get(latest.get()));
        return pool.or(this::onlyOneLeft).map(p -> new Next(p, start - now));
    }

    private Optional<ServiceId> onlyOneLeft() {
        ServiceId left = null;
        for (Map.Entry<ServiceId, SurgeHistory> entry : pools.entrySet()) {
            if (!Double.isNaN(entry.getValue().start())) {
                continue;
            }
            if (left != null) {
                return Optional.empty();
            }
            left = entry.getKey();
        }
        return Optional.ofNullable(left);
    }

    /**
     * The next surge.
     *
     * @param pool whose it is
     * @param inSeconds the time until it starts; negative when it is overdue
     */
    public record Next(ServiceId pool, double inSeconds) {}
}
