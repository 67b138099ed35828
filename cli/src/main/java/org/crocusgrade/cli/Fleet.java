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
 * What the platform and the daemons say of the fleet, read at one moment.
 *
 * @param config the published configuration
 * @param racks the rack records of all regions
 * @param daemons every listed daemon with its status, if it answered
 */
record Fleet(ConfigBundle config, List<RackRecord> racks, List<Daemons.Answer> daemons) {
    private static final String RACKS = "fleet/";

    /**
     * One worker with its rack.
     *
     * @param rack the rack's record
     * @param worker the worker's entry in it
     */
    record Host(RackRecord rack, WorkerRecord worker) {
        /** Returns whether the worker is on its way to another pool. */
        boolean moves() {
            return !worker.pool().equals(worker.target());
        }

        /** Returns the rack's owner, or nothing. */
        String owner() {
            return rack.owner().map(Object::toString).orElse("");
        }
    }

    /** Reads everything. */
    static Fleet read(PlatformAccess platform) throws CliException {
        Publisher publisher = new Publisher(platform.store(), Clock.system());
        ConfigBundle config = Calls.await(platform, publisher.current());
        List<StoreEntry> racks = Calls.await(platform, platform.store().list(RACKS));
        List<Daemons.Answer> daemons =
                Calls.await(platform, new Daemons(platform).pages("/status"));
        return new Fleet(config, decode(racks), daemons);
    }

    /** Returns all workers in the order of their ids. */
    List<Host> hosts() {
        List<Host> hosts = new ArrayList<>();
        for (RackRecord rack : racks) {
            rack.workers().forEach(worker -> hosts.add(new Host(rack, worker)));
        }
        hosts.sort(Comparator.comparing(h -> h.worker().worker()));
        return hosts;
    }

    /** Returns the workers of a pool. */
    List<Host> pool(PoolId pool) {
        return hosts().stream().filter(h -> h.worker().pool().equals(pool)).toList();
    }

    /** Returns the sum of a figure of a service over all daemons that answered. */
    long sum(String service, String figure) {
        long sum = 0;
        for (Daemons.Answer answer : daemons) {
            sum +=
                    answer.page()
                            .map(p -> p.path("services").path(service).path(figure).asLong(0))
                            .orElse(0L);
        }
        return sum;
    }

    /** Returns a part of the status pages from the daemon that decided most of it. */
    Optional<JsonNode> part(String name) {
        return daemons.stream()
                .flatMap(answer -> answer.page().stream())
                .map(page -> page.path(name))
                .filter(JsonNode::isObject)
                .max(Comparator.comparingInt(part -> part.path("moves").size()));
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
