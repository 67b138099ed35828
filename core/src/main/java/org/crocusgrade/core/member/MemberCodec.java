package org.crocusgrade.core.member;

import com.fasterxml.jackson.databind.JsonNode;
import java.net.InetSocketAddress;
import java.util.Set;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.Region;
import org.crocusgrade.core.misc.Addresses;
import org.crocusgrade.core.misc.RecordException;
import org.crocusgrade.core.misc.RecordJson;

/** Encodes member records as JSON and decodes them; unknown fields are rejected. */
public final class MemberCodec {
    /** Maximum size of an encoded record, in bytes. */
    public static final int MAX_BYTES = 16 * 1024;

    private static final Set<String> FIELDS =
            Set.of("daemon", "boot", "region", "zone", "peers", "callers", "operators");

    private MemberCodec() {}

    /** Returns the JSON of a record in UTF-8. */
    public static byte[] encode(MemberRecord record) {
        var node =
                RecordJson.newObject()
                        .put("daemon", record.daemon().value())
                        .put("boot", record.boot().value())
                        .put("region", record.region().value())
                        .put("zone", record.zone().value())
                        .put("peers", Addresses.format(record.peers()))
                        .put("callers", Addresses.format(record.callers()))
                        .put("operators", Addresses.format(record.operators()));
        return RecordJson.write(node);
    }

    /**
     * Decodes a record.
     *
     * @throws MemberException if the JSON is malformed, too large, or has a missing, unknown or
     *     invalid field
     */
    public static MemberRecord decode(byte[] bytes) throws MemberException {
        try {
            JsonNode node = RecordJson.read(bytes, MAX_BYTES, "member record", FIELDS);
            return new MemberRecord(
                    new DaemonId(RecordJson.text(node, "daemon")),
                    new BootId(RecordJson.text(node, "boot")),
                    new Region(RecordJson.text(node, "region")),
                    new AvailabilityZone(RecordJson.text(node, "zone")),
                    address(node, "peers"),
                    address(node, "callers"),
                    address(node, "operators"));
        } catch (RecordException | IllegalArgumentException e) {
            throw new MemberException("member record cannot be decoded", e);
        }
    }

    private static InetSocketAddress address(JsonNode node, String field) throws RecordException {
        return Addresses.parse(RecordJson.text(node, field));
    }
}
