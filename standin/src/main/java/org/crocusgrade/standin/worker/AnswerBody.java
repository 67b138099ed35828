package org.crocusgrade.standin.worker;

import java.nio.charset.StandardCharsets;
import java.util.Arrays;

/**
 * The response body of a stand-in worker. It depends only on the caller's nonce and the requested
 * size, so a caller can verify that it received the complete answer to its own request.
 */
public final class AnswerBody {
    /** Largest answer that a request may specify, in bytes. */
    public static final int MAX_BYTES = 1 << 20;

    private AnswerBody() {}

    /** Returns the body for a nonce: the nonce as a line, repeated and cut to the given size. */
    public static byte[] of(String nonce, int bytes) {
        if (bytes < 0 || bytes > MAX_BYTES) {
            throw new IllegalArgumentException("answer must have 0 to " + MAX_BYTES + " bytes");
        }
        byte[] line = (nonce + "\n").getBytes(StandardCharsets.UTF_8);
        byte[] body = new byte[bytes];
        for (int at = 0; at < bytes; at += line.length) {
            System.arraycopy(line, 0, body, at, Math.min(line.length, bytes - at));
        }
        return body;
    }

    /** Returns whether a body is the complete answer for a nonce. */
    public static boolean matches(byte[] body, String nonce, int bytes) {
        return Arrays.equals(body, of(nonce, bytes));
    }
}
