package org.crocusgrade.core.member;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.misc.RecordException;
import org.crocusgrade.core.misc.RecordJson;

/** Encodes authority records as JSON and decodes them; unknown fields are rejected. */
public final class AuthorityCodec {
    /** Maximum size of an encoded record, in bytes. */
    public static final int MAX_BYTES = 16 * 1024;

    private static final Set<String> FIELDS =
            Set.of("daemon", "boot", "term", "state", "witnesses");
    private static final Set<String> RUN_FIELDS = Set.of("daemon", "boot");

    private AuthorityCodec() {}

    /** Returns the JSON of a record in UTF-8. */
    public static byte[] encode(AuthorityRecord record) {
        ObjectNode node = run(RecordJson.newObject(), record.run());
        node.put("term", record.term()).put("state", record.state().name());
        ArrayNode witnesses = node.putArray("witnesses");
        record.witnesses().runs().forEach(each -> run(witnesses.addObject(), each));
        return RecordJson.write(node);
    }

    /**
     * Decodes a record.
     *
     * @throws MemberException if the JSON is malformed, too large, or has a missing, unknown or
     *     invalid field
     */
    public static AuthorityRecord decode(byte[] bytes) throws MemberException {
        try {
            JsonNode node = RecordJson.read(bytes, MAX_BYTES, "authority record", FIELDS);
            List<DaemonRun> witnesses = new ArrayList<>();
            for (JsonNode each : node.path("witnesses")) {
                RecordJson.requireOnlyFields(each, RUN_FIELDS);
                witnesses.add(run(each));
            }
            return new AuthorityRecord(
                    run(node),
                    RecordJson.number(node, "term"),
                    AuthorityRecord.State.valueOf(RecordJson.text(node, "state")),
                    new WitnessSet(witnesses));
        } catch (RecordException | IllegalArgumentException e) {
            throw new MemberException("authority record cannot be decoded", e);
        }
    }

    private static ObjectNode run(ObjectNode node, DaemonRun run) {
        return node.put("daemon", run.daemon().value()).put("boot", run.boot().value());
    }

    private static DaemonRun run(JsonNode node) throws RecordException {
        DaemonId daemon = new DaemonId(RecordJson.text(node, "daemon"));
        return new DaemonRun(daemon, new BootId(RecordJson.text(node, "boot")));
    }
}
