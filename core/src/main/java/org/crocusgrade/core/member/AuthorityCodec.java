package org.crocusgrade.core.member;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;

/** Writes authority records as JSON and reads them back, refusing what it does not know. */
public final class AuthorityCodec {
    /** The largest record, in bytes. */
    public static final int MAX_BYTES = 16 * 1024;

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final Set<String> FIELDS =
            Set.of("daemon", "boot", "term", "state", "witnesses");
    private static final Set<String> RUN_FIELDS = Set.of("daemon", "boot");

    private AuthorityCodec() {}

    /** Writes a record. */
    public static byte[] encode(AuthorityRecord record) {
        ObjectNode node = run(MAPPER.createObjectNode(), record.run());
        node.put("term", record.term()).put("state", record.state().name());
        ArrayNode witnesses = node.putArray("witnesses");
        record.witnesses().runs().forEach(each -> run(witnesses.addObject(), each));
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree of texts and numbers cannot be written", e);
        }
    }

    /** Reads a record. */
    public static AuthorityRecord decode(byte[] bytes) throws MemberException {
        if (bytes.length > MAX_BYTES) {
            throw new MemberException("The authority record is too large.", null);
        }
        try {
            JsonNode node = MAPPER.readTree(bytes);
            requireFields(node, FIELDS);
            JsonNode term = node.get("term");
            if (term == null || !term.isIntegralNumber() || !term.canConvertToLong()) {
                throw new IllegalArgumentException("term is missing");
            }
            List<DaemonRun> witnesses = new ArrayList<>();
            for (JsonNode each : node.path("witnesses")) {
                requireFields(each, RUN_FIELDS);
                witnesses.add(run(each));
            }
            return new AuthorityRecord(
                    run(node),
                    term.longValue(),
                    AuthorityRecord.State.valueOf(text(node, "state")),
                    new WitnessSet(witnesses));
        } catch (IOException | IllegalArgumentException e) {
            throw new MemberException("The authority record cannot be read.", e);
        }
    }

    private static ObjectNode run(ObjectNode node, DaemonRun run) {
        return node.put("daemon", run.daemon().value()).put("boot", run.boot().value());
    }

    private static DaemonRun run(JsonNode node) {
        return new DaemonRun(new DaemonId(text(node, "daemon")), new BootId(text(node, "boot")));
    }

    private static void requireFields(JsonNode node, Set<String> known) {
        if (node == null || !node.isObject()) {
            throw new IllegalArgumentException("not an object");
        }
        for (Iterator<String> names = node.fieldNames(); names.hasNext(); ) {
            String name = names.next();
            if (!known.contains(name)) {
                throw new IllegalArgumentException("unknown field " + name);
            }
        }
    }

    private static String text(JsonNode node, String field) {
        JsonNode value = node.get(field);
        if (value == null || !value.isTextual()) {
            throw new IllegalArgumentException(field + " is missing");
        }
        return value.textValue();
    }
}
