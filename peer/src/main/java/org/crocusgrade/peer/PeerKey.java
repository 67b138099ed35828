package org.crocusgrade.peer;

import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.util.Arrays;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** The secret key that all daemons share; it authenticates each frame between them. */
public final class PeerKey {
    /** Shortest accepted key, in bytes. */
    public static final int MIN_BYTES = 16;

    /** The length of a frame's tag, in bytes. */
    public static final int TAG_BYTES = 16;

    private static final String ALGORITHM = "HmacSHA256";

    private final SecretKeySpec key;

    /**
     * Creates a key from its bytes.
     *
     * @throws IllegalArgumentException if there are fewer than {@link #MIN_BYTES}
     */
    public PeerKey(byte[] bytes) {
        if (bytes.length < MIN_BYTES) {
            throw new IllegalArgumentException("peer key must have at least 16 bytes");
        }
        key = new SecretKeySpec(bytes.clone(), ALGORITHM);
    }

    /** Returns a new tag computation, for one direction of one connection; not thread-safe. */
    FrameTag newTag() {
        try {
            Mac mac = Mac.getInstance(ALGORITHM);
            mac.init(key);
            return new FrameTag(mac);
        } catch (GeneralSecurityException e) {
            throw new IllegalStateException("HmacSHA256 is missing from this Java runtime", e);
        }
    }

    /** Computes the tags of one direction of one connection. */
    static final class FrameTag {
        private final Mac mac;

        private FrameTag(Mac mac) {
            this.mac = mac;
        }

        /** Returns the tag over both nonces, the frame's sequence number and its payload. */
        byte[] compute(byte[] senderNonce, byte[] receiverNonce, long sequence, byte[] payload) {
            mac.update(senderNonce);
            mac.update(receiverNonce);
            for (int shift = Long.SIZE - Byte.SIZE; shift >= 0; shift -= Byte.SIZE) {
                mac.update((byte) (sequence >>> shift));
            }
            return Arrays.copyOf(mac.doFinal(payload), TAG_BYTES);
        }

        /** Returns whether a received tag is correct; compares in constant time. */
        boolean matches(byte[] tag, byte[] sender, byte[] receiver, long sequence, byte[] payload) {
            return MessageDigest.isEqual(tag, compute(sender, receiver, sequence, payload));
        }
    }
}
