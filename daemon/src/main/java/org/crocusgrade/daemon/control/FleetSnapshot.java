package org.crocusgrade.daemon.control;

import java.util.Map;
import java.util.Optional;
import org.crocusgrade.core.fleet.RackRecord;
import org.crocusgrade.core.fleet.WorkerRecord;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.RackId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.member.MemberRecord;
import org.crocusgrade.core.port.HostEntry;

/**
 * What the daemon knows of the fleet, replaced whole at each change.
 *
 * @param hosts the platform's lagging list by worker
 * @param racks the rack records with their revisions
 * @param members the daemons with a lease
 */
public record FleetSnapshot(
        Map<WorkerId, HostEntry> hosts,
        Map<RackId, VersionedRack> racks,
        Map<DaemonId, MemberRecord> members) {
    /** Knows nothing. */
    public static final FleetSnapshot EMPTY = new FleetSnapshot(Map.of(), Map.of(), Map.of());

    /** Copies the maps. */
    public FleetSnapshot {
        hosts = Map.copyOf(hosts);
        racks = Map.copyOf(racks);
        members = Map.copyOf(members);
    }

    /**
     * A rack record as read.
     *
     * @param record the record
     * @param revision its revision, for the next compare-and-swap
     */
    public record VersionedRack(RackRecord record, long revision) {}

    /** Returns a worker's entry in the host list, if it has one. */
    public Optional<HostEntry> host(WorkerId worker) {
        return Optional.ofNullable(hosts.get(worker));
    }

    /** Returns the pool that a worker is in, if it has a record. */
    public Optional<PoolId> poolOf(WorkerId worker) {
        Optional<HostEntry> host = host(worker);
        VersionedRack rack = host.map(entry -> racks.get(entry.rack())).orElse(null);
        if (rack == null) {
            return Optional.empty();
        }
        for (WorkerRecord each : rack.record().workers()) {
            if (each.worker().equals(worker)) {
                return Optional.of(each.pool());
            }
        }
        return Optional.empty();
    }

    FleetSnapshot withHosts(Map<WorkerId, HostEntry> next) {
        return new FleetSnapshot(next, racks, members);
    }

    FleetSnapshot withRacks(Map<RackId, VersionedRack> next) {
        return new FleetSnapshot(hosts, next, members);
    }

    FleetSnapshot withMembers(Map<DaemonId, MemberRecord> next) {
        return new FleetSnapshot(hosts, racks, next);
    }
}
