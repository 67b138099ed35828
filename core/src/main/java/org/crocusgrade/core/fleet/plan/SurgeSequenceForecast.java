package org.crocusgrade.core.fleet.plan;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.crocusgrade.core.id.ServiceId;

/**
 * Forecasts which pool surges next, and when, for pools that surge in turns. Needs only a few
 * surges.
 *
 * <p>Idea: the lag between the starts of two consecutive surges is much the same for all pools, so
 * one median is taken over the lags of all of them. The next pool is the one that followed the last
 * time that the pool of the latest surge surged; before there is such a follower, it is the only
 * pool that has not surged yet, if there is exactly one, or, if all have surged, the one whose
 * surge is the oldest.
 *
 * <p>Worked case: a starts at 0 s, b at 4.5 s, c at 9 s, and d has not surged: d is forecast for
 * 13.5 s. When a starts at 18 s, b is forecast for 22.5 s.
 */
public final class SurgeSequenceForecast {
    /** Time after which a forecast start that was not observed is dropped. */
    private static final double OVERDUE_SECONDS = 1.5;

    /** Minimum submissions in the window for a surge to start: a single one may just be large. */
    private static final int MIN_SUBMISSIONS_TO_START = 2;

    /** Minimum submissions in the window for a surge to continue. */
    private static final int MIN_SUBMISSIONS_TO_CONTINUE = 1;

    /**
     * Minimum range of a pool's demand for a surge, in cores; a few hosts: a smaller rise needs no
     * host to move.
     */
    private static final double MIN_RANGE_CORES = 40;

    /**
     * Minimum submissions in the window for a pool's first surge to be taken for as large as
     * presumed: between surges so many do not come by chance.
     */
    private static final int MIN_SUBMISSIONS_TO_PRESUME = 4;

    /**
     * Time after its expected end at which a surge that still shows in the samples has not ended:
     * the samples fall within less time after the end.
     */
    private static final double OVERRUN_SECONDS = 1.0;

    /** Time from the start of a surge after which its samples show its level. */
    private static final double MEASURING_SECONDS = 1.5;

    /** Minimum lag that counts: surges that begin nearly together are no turns. */
    private static final double MIN_LAG_SECONDS = 2.0;

    /**
     * Minimum demand with which a pool's first surge starts, as a fraction of the presumed one: two
     * large submissions that arrive together by chance exceed {@code MIN_RANGE_CORES} in a large
     * pool.
     */
    private static final double MIN_PRESUMED_FRACTION = 0.08;

    private final Map<ServiceId, SurgeHistory> pools = new HashMap<>();
    private final Map<ServiceId, ServiceId> followers = new HashMap<>();
    private final Map<ServiceId, Double> presumedPeaks = new HashMap<>();
    private final Set<ServiceId> evidentSurges = new HashSet<>();
    private RecentValues lags = new RecentValues();
    private Optional<ServiceId> latest = Optional.empty();
    private double latestStart = Double.NaN;

    /**
     * Sets the demand that a pool's first surge is presumed to have, in cores; has no effect if it
     * was set before.
     */
    public void presumePeak(ServiceId pool, double cores) {
        presumedPeaks.putIfAbsent(pool, cores);
    }

    /**
     * Adds a sample of the work that arrives for a pool.
     *
     * @param at the time, in seconds from any origin
     * @param cores the arriving work, in core-seconds per second
     * @param submissions the number of submissions that it arrived with
     * @return whether a surge of the pool has started
     */
    public boolean observe(ServiceId pool, double at, double cores, int submissions) {
        SurgeHistory history = pools.computeIfAbsent(pool, p -> new SurgeHistory(MIN_RANGE_CORES));
        boolean few =
                submissions
                        < (history.surging()
                                ? MIN_SUBMISSIONS_TO_CONTINUE
                                : MIN_SUBMISSIONS_TO_START);
        boolean small =
                !history.surging()
                        && !history.hasEndedSurge()
                        && cores < presumedPeaks.getOrDefault(pool, 0.0) * MIN_PRESUMED_FRACTION;
        boolean started = history.observe(at, few || small ? 0 : cores, submissions);
        if (!history.surging()) {
            evidentSurges.remove(pool);
        } else if (submissions >= MIN_SUBMISSIONS_TO_PRESUME) {
            evidentSurges.add(pool);
        }
        if (!started) {
            return false;
        }
        double start = history.start();
        if (latest.isPresent() && !latest.get().equals(pool) && start > latestStart) {
            if (start - latestStart >= MIN_LAG_SECONDS) {
                lags.add(start - latestStart);
            }
            followers.put(latest.get(), pool);
        }
        pools.values().forEach(h -> h.endIfLow(at));
        latest = Optional.of(pool);
        latestStart = start;
        return true;
    }

    /**
     * Adds a sample that covers only a part of the time of others, because who measures the work
     * has begun just before. It shows too little, so it says nothing if it is lower than the last
     * one: a surge that goes on while the owner of its pool is replaced must not seem to end.
     *
     * @param covered the part that the sample covers, from 0 to 1
     */
    public boolean observe(
            ServiceId pool, double at, double cores, int submissions, double covered) {
        SurgeHistory history = pools.get(pool);
        boolean isPartial = covered < 1 && history != null && history.hasRange();
        if (isPartial && cores < history.last()) {
            return false;
        }
        return observe(pool, at, cores, submissions);
    }

    /** Returns a snapshot from which another forecast can be restored. */
    public SurgeSequenceSnapshot snapshot(double now) {
        List<SurgeSequenceSnapshot.PoolSnapshot> poolSnapshots = new ArrayList<>();
        pools.forEach(
                (pool, history) -> {
                    if (history.hasRange()) {
                        Optional<ServiceId> next = Optional.ofNullable(followers.get(pool));
                        poolSnapshots.add(history.snapshot(pool, next, now));
                    }
                });
        return new SurgeSequenceSnapshot(lags.values(), latest, poolSnapshots);
    }

    /** Replaces the state by a snapshot of another forecast. */
    public void restore(SurgeSequenceSnapshot snapshot, double now) {
        pools.clear();
        followers.clear();
        evidentSurges.clear();
        lags = new RecentValues();
        snapshot.lags().forEach(lags::add);
        latest = Optional.empty();
        latestStart = Double.NaN;
        for (SurgeSequenceSnapshot.PoolSnapshot each : snapshot.pools()) {
            pools.put(each.pool(), new SurgeHistory(MIN_RANGE_CORES, each, now));
            each.follower().ifPresent(f -> followers.put(each.pool(), f));
            if (snapshot.latest().equals(Optional.of(each.pool()))) {
                latest = snapshot.latest();
                latestStart = now - each.sinceStart();
            }
        }
    }

    /** Returns whether a pool surges now. */
    public boolean isSurging(ServiceId pool) {
        SurgeHistory history = pools.get(pool);
        return history != null && history.surging();
    }

    /**
     * Returns the expected remaining time of a pool's surge, in seconds; 0 if it is not surging,
     * infinite before the first lag. A surge is expected to last until the next one starts.
     */
    public double surgeLeft(ServiceId pool, double now) {
        if (!isSurging(pool)) {
            return 0;
        }
        double length = lags.size() > 0 ? lags.median() : Double.POSITIVE_INFINITY;
        return Math.max(0, pools.get(pool).start() + length - now);
    }

    /**
     * Returns the demand of a pool's surges, in cores. During its first surge, whose samples rise
     * slowly as they cover a window, it is at least the presumed one; before that, the demand of
     * the pool of the latest surge, or 0 without any.
     */
    public double peak(ServiceId pool) {
        SurgeHistory history = pools.get(pool);
        double own = history == null ? Double.NaN : history.peak();
        if (!Double.isNaN(own)) {
            boolean presumed = evidentSurges.contains(pool) && !history.hasEndedSurge();
            return presumed ? Math.max(own, presumedPeaks.getOrDefault(pool, 0.0)) : own;
        }
        double other = latest.map(p -> pools.get(p).peak()).orElse(Double.NaN);
        return Double.isNaN(other) ? 0 : other;
    }

    /**
     * Returns the rate at which work arrives for a surging pool, in cores: its peak, or more if the
     * latest sample shows it.
     */
    public double surgeRate(ServiceId pool) {
        return isSurging(pool) ? pools.get(pool).rate(peak(pool)) : peak(pool);
    }

    /** Returns whether a surge lasts for longer than was expected, so that its end is not known. */
    public boolean isOverrun(ServiceId pool, double now) {
        return isSurging(pool)
                && lags.size() > 0
                && now - pools.get(pool).start() - lags.median() > OVERRUN_SECONDS;
    }

    /**
     * Returns whether the demand of a pool's surges has been measured: a surge of it has ended, or
     * the current one has lasted for long enough.
     */
    public boolean isPeakMeasured(ServiceId pool, double now) {
        SurgeHistory history = pools.get(pool);
        return history != null
                && (history.hasEndedSurge()
                        || history.surging() && now - history.start() > MEASURING_SECONDS);
    }

    /**
     * Returns the pool that surges next and when, or empty if there is no forecast or it is
     * overdue.
     */
    public Optional<Next> next(double now) {
        if (latest.isEmpty() || lags.size() == 0) {
            return Optional.empty();
        }
        double start = latestStart + lags.median();
        if (now - start > OVERDUE_SECONDS) {
            return Optional.empty();
        }
        Optional<ServiceId> pool = Optional.ofNullable(followers.get(latest.get()));
        return pool.or(this::onlyPoolWithoutSurge)
                .or(this::earliestPool)
                .map(p -> new Next(p, start - now));
    }

    /** Returns the pool whose latest surge is the oldest, if all of several pools have surged. */
    private Optional<ServiceId> earliestPool() {
        if (pools.size() < 2 || pools.values().stream().anyMatch(h -> Double.isNaN(h.start()))) {
            return Optional.empty();
        }
        return pools.entrySet().stream()
                .min(Comparator.comparingDouble(e -> e.getValue().start()))
                .map(Map.Entry::getKey);
    }

    private Optional<ServiceId> onlyPoolWithoutSurge() {
        ServiceId found = null;
        for (Map.Entry<ServiceId, SurgeHistory> entry : pools.entrySet()) {
            if (!Double.isNaN(entry.getValue().start())) {
                continue;
            }
            if (found != null) {
                return Optional.empty();
            }
            found = entry.getKey();
        }
        return Optional.ofNullable(found);
    }

    /**
     * The forecast of the next surge.
     *
     * @param pool the pool that surges
     * @param inSeconds the time until it starts; negative when it is overdue
     */
    public record Next(ServiceId pool, double inSeconds) {}
}
