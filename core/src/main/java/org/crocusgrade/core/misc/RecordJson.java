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

/** Reads and writes the JSON of records in the platform's service, refusing what is not known. */
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

    /** Returns an empty object to fill and write. */
    public static ObjectNode newObject() {
        return MAPPER.createObjectNode();
    }

    /** Writes an object of texts, numbers and other such objects. */
    public static byte[] write(ObjectNode node) {
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree of texts and numbers cannot be written", e);
        }
    }

    /**
     * Reads an object that has no other fields than the known ones.
     *
     * @param record the record's name, for messages
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
            throw new RecordException(Kind.MALFORMED, "not JSON", e);
        }
        requireOnlyFields(node, known);
        return node;
    }

    /** Checks that a node is an object without other fields than the known ones. */
    public static void requireOnlyFields(JsonNode node, Set<String> known) throws RecordException {
        if (node == null || !node.isObject()) {
            throw new RecordException(Kind.MALFORMED, "not an object");
        }
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!known.contains(name)) {
                throw new RecordException(Kind.UNKNOWN_FIELD, name);
            }
        }
    }

    /** Returns a field's text. */
    public static String text(JsonNode node, String field) throws RecordException {
        Optional<String> text = optional(node, field);
        if (text.isEmpty()) {
            throw new RecordException(Kind.MISSING_FIELD, field);
        }
        return text.get();
    }

    /** Returns a field's text, if the field is there. */
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

    /** Returns a field's whole number. */
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
