package org.crocusgrade.core.config;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.DateTimeException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.crocusgrade.core.id.ConfigVersion;
import org.crocusgrade.core.id.PublishId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.port.KeyValueStore;

/** Encodes and decodes the configuration head as JSON. */
public final class ConfigHeadCodec {
    private static final int MAX_DEPTH = 8;
    private static final ObjectMapper JSON = mapper();

    private ConfigHeadCodec() {}

    /** Encodes a head as JSON. */
    public static byte[] write(ConfigHead head) {
        ObjectNode root = JSON.createObjectNode();
        root.put("version", head.version().value());
        root.put("publish", head.publish().value());
        ObjectNode services = root.putObject("services");
        head.services().forEach((s, blob) -> services.put(s.value(), blob.value()));
        ArrayNode history = root.putArray("history");
        for (PublishRecord record : head.history()) {
            ObjectNode node = history.addObject();
            node.put("version", record.version().value());
            node.put("publish", record.publish().value());
            node.put("at", record.at().toString());
            ArrayNode changed = node.putArray("changed");
            record.changed().forEach(s -> changed.add(s.value()));
        }
        try {
            return JSON.writeValueAsBytes(root);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("cannot write the configuration head as JSON", e);
        }
    }

    /**
     * Decodes a head; throws with the cause if the JSON is too large, malformed or out of bounds.
     * History beyond {@link ConfigHead#HISTORY} records is ignored.
     */
    public static ConfigHead read(byte[] json) throws ConfigException {
        if (json.length > KeyValueStore.MAX_VALUE_BYTES) {
            throw invalidHead("larger than a stored value may be");
        }
        try {
            JsonNode root = JSON.readTree(json);
            if (root == null || !root.isObject()) {
                throw invalidHead("not a JSON object");
            }
            Map<ServiceId, BlobId> services = new TreeMap<>();
            for (Map.Entry<String, JsonNode> e : root.path("services").properties()) {
                services.put(new ServiceId(e.getKey()), new BlobId(text(e.getValue())));
            }
            if (services.size() > FleetRules.MAX_SERVICES) {
                throw invalidHead("more services than a deployment may have");
            }
            List<PublishRecord> history = new ArrayList<>();
            for (JsonNode node : root.path("history")) {
                if (history.size() < ConfigHead.HISTORY) {
                    history.add(record(node));
                }
            }
            return new ConfigHead(
                    version(root), new PublishId(text(root.path("publish"))), services, history);
        } catch (IOException | IllegalArgumentException | DateTimeException e) {
            throw invalidHead(e.getMessage());
        }
    }

    private static PublishRecord record(JsonNode node) {
        List<ServiceId> changed = new ArrayList<>();
        for (JsonNode service : node.path("changed")) {
            changed.add(new ServiceId(text(service)));
        }
        return new PublishRecord(
                version(node),
                new PublishId(text(node.path("publish"))),
                Instant.parse(text(node.path("at"))),
                changed);
    }

    private static ConfigVersion version(JsonNode node) {
        JsonNode value = node.path("version");
        if (!value.canConvertToLong() || !value.isIntegralNumber()) {
            throw new IllegalArgumentException("version is not a whole number");
        }
        return new ConfigVersion(value.longValue());
    }

    private static String text(JsonNode node) {
        if (!node.isTextual()) {
            throw new IllegalArgumentException("a value is not a JSON string");
        }
        return node.textValue();
    }

    private static ConfigException invalidHead(String why) {
        ConfigMessage message = ConfigMessage.BAD_HEAD;
        String shown = Problems.shown(String.valueOf(why));
        return new ConfigException(
                List.of(
                        new ConfigProblem(
                                message, message.text(shown), ConfigHead.KEY, 0, "", "")));
    }

    private static ObjectMapper mapper() {
        JsonMapper mapper = JsonMapper.builder().build();
        mapper.getFactory()
                .setStreamReadConstraints(
                        StreamReadConstraints.builder().maxNestingDepth(MAX_DEPTH).build());
        return mapper;
    }
}
