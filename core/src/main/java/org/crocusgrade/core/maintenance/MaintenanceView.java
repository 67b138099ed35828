package org.crocusgrade.core.maintenance;

import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Objects;
import org.crocusgrade.core.config.ServiceConfig;
import org.crocusgrade.core.fleet.WorkerState;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.RackId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.HostEntry;

/**
 * Snapshot of a region for maintenance planning.
 *
 * @param now the time of the snapshot
 * @param policy the policy published by operators
 * @param hosts the hosts, sorted by zone, rack and worker id, which is the order of a wave
 * @param pools the pools
 */
public record MaintenanceView(
        Instant now, RolloutPolicy policy, List<Host> hosts, List<Pool> pools) {
    /** Sorts the hosts and copies the pools. */
    public MaintenanceView {
        Objects.requireNonNull(now);
        Objects.requireNonNull(policy);
        hosts =
                hosts.stream()
                        .sorted(
                                Comparator.comparing((Host h) -> h.zone().value())
                                        .thenComparing(h -> h.rack().value())
                                        .thenComparing(Host::worker))
                        .toList();
        pools = List.copyOf(pools);
    }

    /**
     * One host.
     *
     * @param worker id of the host's worker
     * @param rack the host's rack
     * @param zone the host's availability zone
     * @param pool the host's pool
     * @param moving whether the host is changing to another pool
     * @param state the worker's state in its rack's record, which determines whether it gets work
     * @param host state of the host as the platform lists it
     * @param lastDown when the platform last listed the host as down; {@link Instant#EPOCH} if it
     *     has not been observed down
     * @param answers whether the host answers
     * @param image version of the host's image
     */
    public record Host(
            WorkerId worker,
            RackId rack,
            AvailabilityZone zone,
            PoolId pool,
            boolean moving,
            WorkerState state,
            HostEntry.State host,
            Instant lastDown,
            boolean answers,
            String image) {
        /** Checks the fields. */
        public Host {
            Objects.requireNonNull(worker);
            Objects.requireNonNull(rack);
            Objects.requireNonNull(zone);
            Objects.requireNonNull(pool);
            Objects.requireNonNull(state);
            Objects.requireNonNull(host);
            Objects.requireNonNull(lastDown);
            Objects.requireNonNull(image);
        }

        /** Returns whether the host serves its pool: it is up, gets work and changes no pool. */
        public boolean serves() {
            return state == WorkerState.SERVING && host == HostEntry.State.LIVE && !moving;
        }
    }

    /**
     * One pool.
     *
     * @param pool the pool's id
     * @param minWorkers maintenance must not reduce the number of serving hosts below this
     * @param budget how many of the pool's hosts, and in how many zones, may be unavailable at a
     *     time
     * @param maintenance settings for the maintenance of the pool's hosts
     * @param surging whether the pool's demand is surging
     */
    public record Pool(
            PoolId pool,
            int minWorkers,
            ServiceConfig.Budget budget,
            ServiceConfig.Maintenance maintenance,
            boolean surging) {
        /** Checks the fields. */
        public Pool {
            Objects.requireNonNull(pool);
            Objects.requireNonNull(budget);
            Objects.requireNonNull(maintenance);
        }
    }
}
