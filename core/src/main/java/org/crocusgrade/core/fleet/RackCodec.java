package org.crocusgrade.core.fleet;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.Epoch;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.RackId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.misc.RecordException;
import org.crocusgrade.core.misc.RecordJson;

/** Encodes rack records as JSON and decodes them; unknown fields and invalid values are refused. */
public final class RackCodec {
    /** The largest record, in bytes. */
    public static final int MAX_BYTES = 64 * 1024;

    /** The most workers in a rack. */
    public static final int MAX_WORKERS = 64;

    private static final Set<String> RACK_FIELDS =
            Set.of("rack", "zone", "owner", "ownerBoot", "epoch", "workers");
    private static final Set<String> WORKER_FIELDS = Set.of("worker", "pool", "target", "state");

    private RackCodec() {}

    /** Returns the record as JSON. */
    public static byte[] encode(RackRecord record) {
        ObjectNode node = RecordJson.newObject();
        node.put("rack", record.rack().value());
        node.put("zone", record.zone().value());
        record.owner().ifPresent(owner -> node.put("owner", owner.value()));
        record.ownerBoot().ifPresent(boot -> node.put("ownerBoot", boot.value()));
        node.put("epoch", record.epoch().value());
        ArrayNode workers = node.putArray("workers");
        for (WorkerRecord each : record.workers()) {
            workers.addObject()
                    .put("worker", each.worker().value())
                    .put("pool", each.pool().value())
                    .put("target", each.target().value())
                    .put("state", each.state().name());
        }
        return RecordJson.write(node);
    }

    /**
     * Returns the record that the JSON holds; fails if it is malformed, too large or out of range.
     */
    public static RackRecord decode(byte[] bytes) throws RecordException {
        JsonNode node = RecordJson.read(bytes, MAX_BYTES, "rack record", RACK_FIELDS);
        try {
            return new RackRecord(
                    new RackId(RecordJson.text(node, "rack")),
                    new AvailabilityZone(RecordJson.text(node, "zone")),
                    RecordJson.optional(node, "owner").map(DaemonId::new),
                    RecordJson.optional(node, "ownerBoot").map(BootId::new),
                    new Epoch(RecordJson.number(node, "epoch")),
                    workers(node.get("workers")));
        } catch (IllegalArgumentException e) {
            throw new RecordException(RecordException.Kind.OUT_OF_RANGE, e.getMessage(), e);
        }
    }

    private static List<WorkerRecord> workers(JsonNode node) throws RecordException {
        if (node == null || !node.isArray() || node.size() > MAX_WORKERS) {
            throw new RecordException(RecordException.Kind.MALFORMED, "workers");
        }
        List<WorkerRecord> workers = new ArrayList<>();
        for (JsonNode each : node) {
            RecordJson.requireOnlyFields(each, WORKER_FIELDS);
            workers.add(
                    new WorkerRecord(
                            new WorkerId(RecordJson.text(each, "worker")),
                            new PoolId(RecordJson.text(each, "pool")),
                            new PoolId(RecordJson.text(each, "target")),
                            WorkerState.valueOf(RecordJson.text(each, "state"))));
        }
        long names = workers.stream().map(WorkerRecord::worker).distinct().count();
        if (names < workers.size()) {
            throw new RecordException(RecordException.Kind.OUT_OF_RANGE, "duplicate worker id");
        }
        return workers;
    }
}
