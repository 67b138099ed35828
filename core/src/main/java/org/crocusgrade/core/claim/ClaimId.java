package org.crocusgrade.core.claim;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.id.IdempotencyKey;
import org.crocusgrade.core.id.ServiceId;

/**
 * Identifies one customer's idempotency key at one service, by 128 bits of a SHA-256 digest.
 *
 * @param high the first 64 bits
 * @param low the next 64 bits
 */
public record ClaimId(long high, long low) {
    /** The number of logs over which claims are distributed. */
    public static final int SHARDS = 8;

    private static final String DIGEST = "SHA-256";
    private static final char SEPARATOR = '\n';

    /** Returns the id of a key. */
    public static ClaimId of(ServiceId service, CustomerId customer, IdempotencyKey key) {
        String text = service.value() + SEPARATOR + customer.value() + SEPARATOR + key.value();
        ByteBuffer digest = ByteBuffer.wrap(digest(text.getBytes(StandardCharsets.UTF_8)));
        return new ClaimId(digest.getLong(), digest.getLong());
    }

    /**
     * Returns the first 64 bits of the SHA-256 digest of a request, to detect that a key is reused
     * with another request.
     */
    public static long fingerprint(String method, String path, byte[] body) {
        byte[] head = (method + SEPARATOR + path + SEPARATOR).getBytes(StandardCharsets.UTF_8);
        ByteBuffer all = ByteBuffer.allocate(head.length + body.length).put(head).put(body);
        return ByteBuffer.wrap(digest(all.array())).getLong();
    }

    /** Returns the number of the log that holds the claim, 0 to {@link #SHARDS} - 1. */
    public int shard() {
        return Math.floorMod(high, SHARDS);
    }

    private static byte[] digest(byte[] bytes) {
        try {
            return MessageDigest.getInstance(DIGEST).digest(bytes);
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("SHA-256 is missing from this Java runtime", e);
        }
    }

    @Override
    public String toString() {
        return String.format("%016x%016x", high, low);
    }
}
