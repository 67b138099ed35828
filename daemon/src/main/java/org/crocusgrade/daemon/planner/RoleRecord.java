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
 * The holder of a region's planner role. The record stays in the platform's service after the
 * holder has ended, so that the epoch never decreases.
 *
 * @param holder the daemon that holds the role
 * @param boot boot id of its process
 * @param epoch increases with each change of holder
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
            throw new IllegalStateException("cannot encode the planner role record", e);
        }
    }

    /** Decodes a record; an unreadable one counts as absent, so the next holder overwrites it. */
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
