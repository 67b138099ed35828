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
 * A region at one moment, as maintenance sees it.
 *
 * @param now the time
 * @param policy what operators published
 * @param hosts the hosts, kept in order of zone, rack and id, which is the order of a wave
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
     * @param worker its id
     * @param rack its rack
     * @param zone its availability zone
     * @param pool the pool it is in
     * @param moving whether it is on its way to another pool
     * @param state what its owner lets happen on it
     * @param host the platform's view of it
     * @param lastDown when the platform last listed it as down, or {@link Instant#EPOCH}
     * @param answers whether its owner's probes are answered
     * @param image the version of its image
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

        /** Returns whether it serves its pool. */
        public boolean serves() {
            return state == WorkerState.SERVING && host == HostEntry.State.LIVE && !moving;
        }
    }

    /**
     * One pool.
     *
     * @param pool its id
     * @param minWorkers never fewer hosts serve it than this because of maintenance
     * @param budget how many of its hosts may be unavailable at once
     * @param maintenance how its hosts are maintained
     * @param surging whether its demand surges
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
