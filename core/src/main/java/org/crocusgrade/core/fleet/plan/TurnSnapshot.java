package org.crocusgrade.core.fleet.plan;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.id.ServiceId;

/**
 * What a {@link TurnForecast} has learned, for the next holder of the duty. Times are ages, since
 * clocks of daemons do not share an origin.
 *
 * @param lags the latest lags between the starts of two surges in a row, in seconds
 * @param latest the pool that surged last
 * @param pools what is known of each pool
 */
public record TurnSnapshot(
        List<Double> lags, Optional<ServiceId> latest, List<PoolSnapshot> pools) {
    /** Copies the lists. */
    public TurnSnapshot {
        lags = List.copyOf(lags);
        Objects.requireNonNull(latest);
        pools = List.copyOf(pools);
    }

    /** Returns the same, some time later. */
    public TurnSnapshot agedBy(double seconds) {
        return new TurnSnapshot(lags, latest, pools.stream().map(p -> p.agedBy(seconds)).toList());
    }

    /**
     * What is known of one pool.
     *
     * @param low the low end of the demand seen lately, in cores
     * @param high the high end
     * @param peak the demand of its surges, in cores; NaN before the first
     * @param sinceStart the age of its latest surge's start, in seconds; NaN before the first
     * @param surging whether it surges
     * @param follower the pool that surged after it
     */
    public record PoolSnapshot(
            ServiceId pool,
            double low,
            double high,
            double peak,
            double sinceStart,
            boolean surging,
            Optional<ServiceId> follower) {
        /** Checks the fields. */
        public PoolSnapshot {
            Objects.requireNonNull(pool);
            Objects.requireNonNull(follower);
        }

        private PoolSnapshot agedBy(double seconds) {
            return new PoolSnapshot(pool, low, high, peak, sinceStart + seconds, surging, follower);
        }
    }
}
