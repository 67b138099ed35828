package org.crocusgrade.daemon.link;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import org.crocusgrade.core.id.BootId;

/**
 * The ids that one process gives to its calls to other daemons.
 *
 * <p>A reply goes to whatever process now has the caller's name, and carries nothing of the caller
 * but the id of the call. So the id itself must tell the processes apart: each process counts from
 * a 64-bit hash of its boot id. Two processes that make n calls each share an id with a probability
 * of n / 2^63. Daemons that know nothing of this return the ids as they are.
 */
public final class CallIds {
    private final long base;
    private long count;

    /** Creates the ids of the process with a boot id; no other process may have the same one. */
    public CallIds(BootId boot) {
        base = hash(boot.value());
    }

    /** Returns an id that was not returned before. */
    public long next() {
        return base + ++count;
    }

    /** Returns whether this process has given an id to a call. */
    public boolean isIssued(long id) {
        long index = id - base;
        return index > 0 && index <= count;
    }

    private static long hash(String text) {
        try {
            byte[] digest =
                    MessageDigest.getInstance("SHA-256")
                            .digest(text.getBytes(StandardCharsets.UTF_8));
            return ByteBuffer.wrap(digest).getLong();
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("Every Java platform provides SHA-256", e);
        }
    }
}
