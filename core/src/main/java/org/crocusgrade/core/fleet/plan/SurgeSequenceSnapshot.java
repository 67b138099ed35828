package org.crocusgrade.core.fleet.plan;

import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.id.ServiceId;

/**
 * A snapshot of a {@link SurgeSequenceForecast}, to be restored by the daemon that takes over the
 * duty. Times are stored as ages because the clocks of two daemons do not share an origin.
 *
 * @param lags the latest lags between the starts of two consecutive surges, in seconds
 * @param latest the pool of the latest surge
 * @param pools the demand statistics of each pool
 */
public record SurgeSequenceSnapshot(
        List<Double> lags, Optional<ServiceId> latest, List<PoolSnapshot> pools) {
    /** Copies the lists. */
    public SurgeSequenceSnapshot {
        lags = List.copyOf(lags);
        Objects.requireNonNull(latest);
        pools = List.copyOf(pools);
    }

    /** Returns the snapshot with all ages increased. */
    public SurgeSequenceSnapshot agedBy(double seconds) {
        return new SurgeSequenceSnapshot(
                lags, latest, pools.stream().map(p -> p.agedBy(seconds)).toList());
    }

    /**
     * The demand statistics of one pool.
     *
     * @param low the low end of its recent demand, in cores
     * @param high the high end of its recent demand, in cores
     * @param peak the demand of its surges, in cores; NaN before the first
     * @param sinceStart the age of the start of its latest surge, in seconds; NaN before the first
     * @param surging whether it is surging
     * @param follower the pool that surged next after its latest surge that had a follower
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
