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
 * An immutable snapshot of the fleet; each change replaces it as a whole.
 *
 * @param hosts the platform's host list by worker, which lags behind the actual state
 * @param racks the rack records with their revisions
 * @param members the daemons with a member lease
 */
public record FleetSnapshot(
        Map<WorkerId, HostEntry> hosts,
        Map<RackId, VersionedRack> racks,
        Map<DaemonId, MemberRecord> members) {
    /** A snapshot without hosts, racks and members. */
    public static final FleetSnapshot EMPTY = new FleetSnapshot(Map.of(), Map.of(), Map.of());

    /** Creates a snapshot with copies of the maps. */
    public FleetSnapshot {
        hosts = Map.copyOf(hosts);
        racks = Map.copyOf(racks);
        members = Map.copyOf(members);
    }

    /**
     * A rack record with its revision in the store.
     *
     * @param record the record
     * @param revision the revision to expect in the next compare-and-swap
     */
    public record VersionedRack(RackRecord record, long revision) {}

    /** Returns the host list's entry for a worker, if there is one. */
    public Optional<HostEntry> host(WorkerId worker) {
        return Optional.ofNullable(hosts.get(worker));
    }

    /**
     * Returns the current pool of a worker, if the worker is in the host list and in a rack record.
     */
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
