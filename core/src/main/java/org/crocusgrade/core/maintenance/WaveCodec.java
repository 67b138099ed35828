package org.crocusgrade.core.maintenance;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import org.crocusgrade.core.fleet.RecordException;
import org.crocusgrade.core.id.Epoch;
import org.crocusgrade.core.id.WorkerId;

/** Writes the record of maintenance as JSON and reads it back, refusing what it does not know. */
public final class WaveCodec {
    /** The largest record, in bytes; the platform's service holds up to 1 MiB. */
    public static final int MAX_BYTES = 1 << 20;

    private static final int MAX_DEPTH = 4;
    private static final Set<String> FIELDS =
            Set.of(
                    "epoch",
                    "wave",
                    "status",
                    "stopped",
                    "image",
                    "attempt",
                    "started",
                    "hosts",
                    "maintained",
                    "hostMillis");
    private static final Set<String> HOST_FIELDS =
            Set.of("phase", "since", "started", "operation", "failure");
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

    private WaveCodec() {}

    /** Writes a record. */
    public static byte[] encode(WaveRecord record) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("epoch", record.epoch().value());
        node.put("wave", record.wave());
        node.put("status", record.status().name());
        record.stopped().ifPresent(reason -> node.put("stopped", reason.name()));
        record.image().ifPresent(image -> node.put("image", image));
        node.put("attempt", record.attempt());
        node.put("started", record.started().toEpochMilli());
        ObjectNode hosts = node.putObject("hosts");
        record.hosts().forEach((worker, host) -> put(hosts.putObject(worker.value()), host));
        ObjectNode maintained = node.putObject("maintained");
        record.maintained().forEach((w, at) -> maintained.put(w.value(), at.toEpochMilli()));
        node.put("hostMillis", record.hostTime().toMillis());
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree of texts and numbers cannot be written", e);
        }
    }

    private static void put(ObjectNode node, HostProgress host) {
        node.put("phase", host.phase().name());
        node.put("since", host.since().toEpochMilli());
        node.put("started", host.started().toEpochMilli());
        node.put("operation", host.operation());
        host.failure().ifPresent(reason -> node.put("failure", reason.name()));
    }

    /** Reads a record. */
    public static WaveRecord decode(byte[] bytes) throws RecordException {
        if (bytes.length > MAX_BYTES) {
            throw new RecordException(RecordException.Kind.TOO_LARGE, "record of maintenance");
        }
        JsonNode node = parse(bytes);
        requireFields(node, FIELDS);
        try {
            return new WaveRecord(
                    new Epoch(number(node, "epoch")),
                    number(node, "wave"),
                    WaveRecord.Status.valueOf(text(node, "status")),
                    optional(node, "stopped").map(MaintenanceReason::valueOf),
                    optional(node, "image"),
                    Math.toIntExact(number(node, "attempt")),
                    instant(node, "started"),
                    hosts(object(node, "hosts")),
                    maintained(object(node, "maintained")),
                    Duration.ofMillis(number(node, "hostMillis")));
        } catch (IllegalArgumentException | ArithmeticException | DateTimeException e) {
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

    private static Map<WorkerId, HostProgress> hosts(JsonNode node) throws RecordException {
        Map<WorkerId, HostProgress> hosts = new TreeMap<>();
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            JsonNode host = node.get(name);
            requireFields(host, HOST_FIELDS);
            hosts.put(
                    new WorkerId(name),
                    new HostProgress(
                            HostProgress.Phase.valueOf(text(host, "phase")),
                            instant(host, "since"),
                            instant(host, "started"),
                            text(host, "operation"),
                            optional(host, "failure").map(MaintenanceReason::valueOf)));
        }
        return hosts;
    }

    private static Map<WorkerId, Instant> maintained(JsonNode node) throws RecordException {
        Map<WorkerId, Instant> maintained = new TreeMap<>();
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            maintained.put(new WorkerId(name), instant(node, name));
        }
        return maintained;
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

    private static JsonNode object(JsonNode node, String field) throws RecordException {
        JsonNode value = node.get(field);
        if (value == null || !value.isObject()) {
            throw new RecordException(RecordException.Kind.MALFORMED, field);
        }
        return value;
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

    private static Instant instant(JsonNode node, String field) throws RecordException {
        return Instant.ofEpochMilli(number(node, field));
    }

    private static long number(JsonNode node, String field) throws RecordException {
        JsonNode value = node.get(field);
        if (value == null || !value.isIntegralNumber() || !value.canConvertToLong()) {
            throw new RecordException(RecordException.Kind.MALFORMED, field);
        }
        return value.longValue();
    }
}
