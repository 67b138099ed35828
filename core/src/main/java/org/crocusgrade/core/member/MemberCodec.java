package org.crocusgrade.core.member;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.InetSocketAddress;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.Region;
import org.crocusgrade.core.misc.Addresses;

/** Writes member records as JSON and reads them back. */
public final class MemberCodec {
    /** The largest record, in bytes. */
    public static final int MAX_BYTES = 16 * 1024;

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private MemberCodec() {}

    /** Writes a record. */
    public static byte[] encode(MemberRecord record) {
        var node =
                MAPPER.createObjectNode()
                        .put("daemon", record.daemon().value())
                        .put("boot", record.boot().value())
                        .put("region", record.region().value())
                        .put("zone", record.zone().value())
                        .put("peers", Addresses.format(record.peers()))
                        .put("callers", Addresses.format(record.callers()))
                        .put("operators", Addresses.format(record.operators()));
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree of texts cannot be written", e);
        }
    }

    /** Reads a record. */
    public static MemberRecord decode(byte[] bytes) throws MemberException {
        if (bytes.length > MAX_BYTES) {
            throw new MemberException("The member record is too large.", null);
        }
        try {
            JsonNode node = MAPPER.readTree(bytes);
            return new MemberRecord(
                    new DaemonId(text(node, "daemon")),
                    new BootId(text(node, "boot")),
                    new Region(text(node, "region")),
                    new AvailabilityZone(text(node, "zone")),
                    address(node, "peers"),
                    address(node, "callers"),
                    address(node, "operators"));
        } catch (IOException | IllegalArgumentException e) {
            throw new MemberException("The member record cannot be read.", e);
        }
    }

    private static InetSocketAddress address(JsonNode node, String field) {
        return Addresses.parse(text(node, field));
    }

    private static String text(JsonNode node, String field) {
        JsonNode value = node == null ? null : node.get(field);
        if (value == null || !value.isTextual()) {
            throw new IllegalArgumentException(field + " is missing");
        }
        return value.textValue();
    }
}
