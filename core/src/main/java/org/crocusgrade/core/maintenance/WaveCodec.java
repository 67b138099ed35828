package org.crocusgrade.core.maintenance;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.DateTimeException;
import java.time.Duration;
import java.time.Instant;
import java.util.Iterator;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.crocusgrade.core.id.Epoch;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.misc.RecordException;
import org.crocusgrade.core.misc.RecordJson;

/** Encodes wave records as JSON and decodes them; unknown fields are rejected. */
public final class WaveCodec {
    /** Maximum size of an encoded record, in bytes; the platform's service stores up to 1 MiB. */
    public static final int MAX_BYTES = 1 << 20;

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

    private WaveCodec() {}

    /** Returns the JSON of a record in UTF-8. */
    public static byte[] encode(WaveRecord record) {
        ObjectNode node = RecordJson.newObject();
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
        node.put("hostMillis", record.meanHostTime().toMillis());
        return RecordJson.write(node);
    }

    private static void put(ObjectNode node, HostProgress host) {
        node.put("phase", host.phase().name());
        node.put("since", host.since().toEpochMilli());
        node.put("started", host.started().toEpochMilli());
        node.put("operation", host.operation());
        host.failure().ifPresent(reason -> node.put("failure", reason.name()));
    }

    /**
     * Decodes a record.
     *
     * @throws RecordException if the JSON is malformed, too large, or has a missing, unknown or
     *     invalid field
     */
    public static WaveRecord decode(byte[] bytes) throws RecordException {
        JsonNode node = RecordJson.read(bytes, MAX_BYTES, "wave record", FIELDS);
        try {
            return new WaveRecord(
                    new Epoch(RecordJson.number(node, "epoch")),
                    RecordJson.number(node, "wave"),
                    WaveRecord.Status.valueOf(RecordJson.text(node, "status")),
                    RecordJson.optional(node, "stopped").map(MaintenanceReason::valueOf),
                    RecordJson.optional(node, "image"),
                    Math.toIntExact(RecordJson.number(node, "attempt")),
                    instant(node, "started"),
                    hosts(object(node, "hosts")),
                    maintained(object(node, "maintained")),
                    Duration.ofMillis(RecordJson.number(node, "hostMillis")));
        } catch (IllegalArgumentException | ArithmeticException | DateTimeException e) {
            throw new RecordException(RecordException.Kind.OUT_OF_RANGE, e.getMessage(), e);
        }
    }

    private static Map<WorkerId, HostProgress> hosts(JsonNode node) throws RecordException {
        Map<WorkerId, HostProgress> hosts = new TreeMap<>();
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            JsonNode host = node.get(name);
            RecordJson.requireOnlyFields(host, HOST_FIELDS);
            hosts.put(
                    new WorkerId(name),
                    new HostProgress(
                            HostProgress.Phase.valueOf(RecordJson.text(host, "phase")),
                            instant(host, "since"),
                            instant(host, "started"),
                            RecordJson.text(host, "operation"),
                            RecordJson.optional(host, "failure").map(MaintenanceReason::valueOf)));
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

    private static JsonNode object(JsonNode node, String field) throws RecordException {
        JsonNode value = node.get(field);
        if (value == null || !value.isObject()) {
            throw new RecordException(RecordException.Kind.MALFORMED, field);
        }
        return value;
    }

    private static Instant instant(JsonNode node, String field) throws RecordException {
        return Instant.ofEpochMilli(RecordJson.number(node, field));
    }
}
