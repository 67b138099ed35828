package org.crocusgrade.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.crocusgrade.core.config.ConfigBundle;
import org.crocusgrade.core.config.Publisher;
import org.crocusgrade.core.fleet.RackCodec;
import org.crocusgrade.core.fleet.RackRecord;
import org.crocusgrade.core.fleet.WorkerRecord;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.misc.RecordException;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.StoreEntry;

/**
 * The state of the fleet as read once from the platform and the daemons. The reads are not atomic,
 * so the parts may be of slightly different times.
 *
 * @param config the published configuration
 * @param racks the rack records of all regions
 * @param daemons every daemon of the member list with its status page, if it answered
 */
record FleetSnapshot(
        ConfigBundle config, List<RackRecord> racks, List<DaemonClient.Reply> daemons) {
    private static final String RACKS_PREFIX = "fleet/";

    /**
     * A worker and its rack.
     *
     * @param rack the rack's record
     * @param worker the worker's entry in the record
     */
    record Host(RackRecord rack, WorkerRecord worker) {
        /** Returns whether the worker is moving to another pool. */
        boolean isMoving() {
            return !worker.pool().equals(worker.target());
        }

        /** Returns the daemon that owns the rack, or an empty string if none does. */
        String owner() {
            return rack.owner().map(Object::toString).orElse("");
        }
    }

    /** Reads the snapshot. */
    static FleetSnapshot read(PlatformAccess platform) throws CliException {
        Publisher publisher = new Publisher(platform.store(), Clock.system());
        ConfigBundle config = PlatformCalls.await(platform, publisher.current());
        List<StoreEntry> racks = PlatformCalls.await(platform, platform.store().list(RACKS_PREFIX));
        List<DaemonClient.Reply> daemons =
                PlatformCalls.await(platform, new DaemonClient(platform).pages("/status"));
        return new FleetSnapshot(config, decode(racks), daemons);
    }

    /** Returns all workers, sorted by id. */
    List<Host> hosts() {
        List<Host> hosts = new ArrayList<>();
        for (RackRecord rack : racks) {
            rack.workers().forEach(worker -> hosts.add(new Host(rack, worker)));
        }
        hosts.sort(Comparator.comparing(h -> h.worker().worker()));
        return hosts;
    }

    /** Returns the workers that are in a pool, including those that are moving out of it. */
    List<Host> pool(PoolId pool) {
        return hosts().stream().filter(h -> h.worker().pool().equals(pool)).toList();
    }

    /**
     * Returns the sum of a numeric field of a service over the status pages of all daemons that
     * answered.
     */
    long sum(String service, String field) {
        long sum = 0;
        for (DaemonClient.Reply answer : daemons) {
            sum +=
                    answer.page()
                            .map(p -> p.path("services").path(service).path(field).asLong(0))
                            .orElse(0L);
        }
        return sum;
    }

    /**
     * Returns a section of the status page, from the daemon that lists the most moves in it; empty
     * if no page has the section.
     */
    Optional<JsonNode> section(String name) {
        return daemons.stream()
                .flatMap(answer -> answer.page().stream())
                .map(page -> page.path(name))
                .filter(JsonNode::isObject)
                .max(Comparator.comparingInt(section -> section.path("moves").size()));
    }

    private static List<RackRecord> decode(List<StoreEntry> entries) {
        List<RackRecord> racks = new ArrayList<>();
        for (StoreEntry entry : entries) {
            try {
                racks.add(RackCodec.decode(entry.value()));
            } catch (RecordException e) {
                continue;
            }
        }
        return racks;
    }
}
