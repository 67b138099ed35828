package org.crocusgrade.core.misc;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.StreamReadFeature;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.Iterator;
import java.util.Optional;
import java.util.Set;
import org.crocusgrade.core.misc.RecordException.Kind;

/**
 * Reads and writes the JSON of records stored in the platform's service. Unknown and duplicate
 * fields are rejected.
 */
public final class RecordJson {
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

    private RecordJson() {}

    /** Returns a new empty object. */
    public static ObjectNode newObject() {
        return MAPPER.createObjectNode();
    }

    /** Returns the JSON of an object in UTF-8. */
    public static byte[] write(ObjectNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree of JSON nodes cannot be serialized", e);
        }
    }

    /**
     * Parses an object and checks that it has no fields besides the known ones.
     *
     * @param maxBytes the maximum size of the JSON, in bytes
     * @param record the kind of record, for messages
     */
    public static JsonNode read(byte[] bytes, int maxBytes, String record, Set<String> known)
            throws RecordException {
        if (bytes.length > maxBytes) {
            throw new RecordException(Kind.TOO_LARGE, record);
        }
        JsonNode node;
        try {
            node = MAPPER.readTree(bytes);
        } catch (IOException e) {
            throw new RecordException(Kind.MALFORMED, "not valid JSON", e);
        }
        requireOnlyFields(node, known);
        return node;
    }

    /** Checks that a node is an object without fields besides the known ones; none is required. */
    public static void requireOnlyFields(JsonNode node, Set<String> known) throws RecordException {
        if (node == null || !node.isObject()) {
            throw new RecordException(Kind.MALFORMED, "not a JSON object");
        }
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!known.contains(name)) {
                throw new RecordException(Kind.UNKNOWN_FIELD, name);
            }
        }
    }

    /** Returns the text of a required field. */
    public static String text(JsonNode node, String field) throws RecordException {
        Optional<String> text = optional(node, field);
        if (text.isEmpty()) {
            throw new RecordException(Kind.MISSING_FIELD, field);
        }
        return text.get();
    }

    /** Returns the text of an optional field. */
    public static Optional<String> optional(JsonNode node, String field) throws RecordException {
        JsonNode value = node.get(field);
        if (value == null) {
            return Optional.empty();
        }
        if (!value.isTextual()) {
            throw new RecordException(Kind.MALFORMED, field);
        }
        return Optional.of(value.textValue());
    }

    /** Returns the integer of a required field. */
    public static long number(JsonNode node, String field) throws RecordException {
        JsonNode value = node.get(field);
        if (value == null) {
            throw new RecordException(Kind.MISSING_FIELD, field);
        }
        if (!value.isIntegralNumber() || !value.canConvertToLong()) {
            throw new RecordException(Kind.MALFORMED, field);
        }
        return value.longValue();
    }
}
