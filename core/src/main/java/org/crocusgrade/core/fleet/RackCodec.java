package org.crocusgrade.core.fleet;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.Epoch;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.RackId;
import org.crocusgrade.core.id.WorkerId;

/** Writes rack records as JSON and reads them back, refusing everything that it does not know. */
public final class RackCodec {
    /** The largest record, in bytes. */
    public static final int MAX_BYTES = 64 * 1024;

    /** The most workers in a rack. */
    public static final int MAX_WORKERS = 64;

    private static final Set<String> RACK_FIELDS =
            Set.of("rack", "zone", "owner", "ownerBoot", "epoch", "workers");
    private static final Set<String> WORKER_FIELDS = Set.of("worker", "pool", "target", "state");
    private static final int MAX_DEPTH = 4;

    private static final ObjectMapper MAPPER =
            JsonMapper.builder()
                    .enable(StreamReadFeature.STRICT_DUPLICATE_DETECTION)
                    .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
                    .build();

    static {
        MAPPER.getFactory()
                .setStreamReadConstraints(
                        StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build());
    }

    private RackCodec() {}

    /** Writes a record. */
    public static byte[] encode(RackRecord record) {
        ObjectNode node = MAPPER.createObjectNode();
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
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree of texts and numbers cannot be written", e);
        }
    }

    /** Reads a record. */
    public static RackRecord decode(byte[] bytes) throws RecordException {
        if (bytes.length > MAX_BYTES) {
            throw new RecordException(RecordException.Kind.TOO_LARGE, "rack record");
        }
        JsonNode node = parse(bytes);
        requireFields(node, RACK_FIELDS);
        try {
            return new RackRecord(
                    new RackId(text(node, "rack")),
                    new AvailabilityZone(text(node, "zone")),
                    optional(node, "owner").map(DaemonId::new),
                    optional(node, "ownerBoot").map(BootId::new),
                    new Epoch(number(node, "epoch")),
                    workers(node.get("workers")));
        } catch (IllegalArgumentException e) {
            throw new RecordException(RecordException.Kind.OUT_OF_RANGE, e.getMessage(), e);
        }
    }

    private static JsonNode parse(byte[] bytes) throws RecordException {
        try {
            return MAPPER.readTree(bytes);
        } catch (IOException e) {
            throw new RecordException(RecordException.Kind.MALFORMED, "not JSON", e);
        }
    }

    private static List<WorkerRecord> workers(JsonNode node) throws RecordException {
        if (node == null || !node.isArray() || node.size() > MAX_WORKERS) {
            throw new RecordException(RecordException.Kind.MALFORMED, "workers");
        }
        List<WorkerRecord> workers = new ArrayList<>();
        for (JsonNode each : node) {
            requireFields(each, WORKER_FIELDS);
            workers.add(
                    new WorkerRecord(
                            new WorkerId(text(each, "worker")),
                            new PoolId(text(each, "pool")),
                            new PoolId(text(each, "target")),
                            WorkerState.valueOf(text(each, "state"))));
        }
        long names = workers.stream().map(WorkerRecord::worker).distinct().count();
        if (names < workers.size()) {
            throw new RecordException(RecordException.Kind.OUT_OF_RANGE, "worker stands twice");
        }
        return workers;
    }

    private static void requireFields(JsonNode node, Set<String> known) throws RecordException {
        if (node == null || !node.isObject()) {
            throw new RecordException(RecordException.Kind.MALFORMED, "not an object");
        }
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!known.contains(name)) {
                throw new RecordException(RecordException.Kind.UNKNOWN_FIELD, name);
            }
        }
    }

    private static String text(JsonNode node, String field) throws RecordException {
        Optional<String> text = optional(node, field);
        if (text.isEmpty()) {
            throw new RecordException(RecordException.Kind.MISSING_FIELD, field);
        }
        return text.get();
    }

    private static Optional<String> optional(JsonNode node, String field) throws RecordException {
        JsonNode value = node.get(field);
        if (value == null) {
            return Optional.empty();
        }
        if (!value.isTextual()) {
            throw new RecordException(RecordException.Kind.MALFORMED, field);
        }
        return Optional.of(value.textValue());
    }

    private static long number(JsonNode node, String field) throws RecordException {
        JsonNode value = node.get(field);
        if (value == null) {
            throw new RecordException(RecordException.Kind.MISSING_FIELD, field);
        }
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw new RecordException(RecordException.Kind.MALFORMED, field);
        }
        return value.longValue();
    }
}
