package org.crocusgrade.daemon.planner;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.Epoch;
import org.crocusgrade.core.member.MemberRecord;

/**
 * Who holds the planner's role of a region; kept in the platform's service, so that the epoch never
 * falls.
 *
 * @param holder the daemon
 * @param boot its run
 * @param epoch grows with each change of holder
 */
record RoleRecord(DaemonId holder, BootId boot, Epoch epoch) {
    private static final ObjectMapper MAPPER = new ObjectMapper();

    RoleRecord {
        Objects.requireNonNull(holder);
        Objects.requireNonNull(boot);
        Objects.requireNonNull(epoch);
    }

    boolean isHeldBy(MemberRecord member) {
        return member != null && holder.equals(member.daemon()) && boot.equals(member.boot());
    }

    byte[] encode() {
        var node =
                MAPPER.createObjectNode()
                        .put("holder", holder.value())
                        .put("boot", boot.value())
                        .put("epoch", epoch.value());
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException("a tree of texts and numbers cannot be written", e);
        }
    }

    /** Reads a record; one that cannot be read counts as absent and is written anew. */
    static Optional<RoleRecord> decode(byte[] bytes) {
        try {
            JsonNode node = MAPPER.readTree(bytes);
            return Optional.of(
                    new RoleRecord(
                            new DaemonId(node.path("holder").asText()),
                            new BootId(node.path("boot").asText()),
                            new Epoch(node.path("epoch").asLong())));
        } catch (IOException | IllegalArgumentException e) {
            return Optional.empty();
        }
    }
}
