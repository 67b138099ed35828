package org.crocusgrade.core.claim;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.port.KeyValueStore;

/**
 * Encodes the entries of claim logs as JSON and decodes them; a claim is an array of five values.
 */
final class ClaimBatchCodec {
    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int CLAIM_FIELDS = 5;

    private ClaimBatchCodec() {}

    static byte[] encode(ClaimBatch batch) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("author", batch.author());
        node.put("at", batch.at().toEpochMilli());
        write(node.putArray("claimed"), batch.claimed());
        write(node.putArray("released"), batch.released());
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException e) {
            throw new IllegalStateException(
                    "cannot serialize a JSON tree of strings and numbers", e);
        }
    }

    static ClaimBatch decode(byte[] bytes) throws ClaimException {
        if (bytes.length > KeyValueStore.MAX_VALUE_BYTES) {
            throw new ClaimException(
                    "claim log entry exceeds the maximum value size of the store", null);
        }
        try {
            JsonNode node = MAPPER.readTree(bytes);
            if (node == null || !node.path("author").isTextual() || !node.path("at").isLong()) {
                throw new ClaimException(
                        "claim log entry lacks a valid \"author\" or \"at\" field", null);
            }
            return new ClaimBatch(
                    node.get("author").textValue(),
                    Instant.ofEpochMilli(node.get("at").longValue()),
                    read(node.path("claimed")),
                    read(node.path("released")));
        } catch (IOException | IllegalArgumentException e) {
            throw new ClaimException(
                    "claim log entry is not valid JSON or has an invalid value", e);
        }
    }

    private static void write(ArrayNode array, List<Claim> claims) {
        for (Claim claim : claims) {
            array.addArray()
                    .add(claim.id().high())
                    .add(claim.id().low())
                    .add(claim.fingerprint())
                    .add(claim.holder().value())
                    .add(claim.holderBoot().value());
        }
    }

    private static List<Claim> read(JsonNode array) throws ClaimException {
        List<Claim> claims = new ArrayList<>();
        for (JsonNode each : array) {
            if (each.size() != CLAIM_FIELDS) {
                throw new ClaimException("claim in claim log entry does not have 5 fields", null);
            }
            claims.add(
                    new Claim(
                            new ClaimId(each.get(0).longValue(), each.get(1).longValue()),
                            each.get(2).longValue(),
                            new DaemonId(each.get(3).asText()),
                            new BootId(each.get(4).asText())));
        }
        return claims;
    }
}
