package org.crocusgrade.core.id;

import java.util.Objects;

/** The caller's {@code Idempotency-Key}: 1 to 255 visible ASCII characters. */
public record IdempotencyKey(String value) {
    /** Longest accepted key, in characters. */
    public static final int MAX_LENGTH = 255;

    /** Checks the text. */
    public IdempotencyKey {
        Objects.requireNonNull(value, "idempotency key");
        if (!isKey(value)) {
            throw new IllegalArgumentException(
                    "idempotency key must be 1 to 255 visible ASCII characters");
        }
    }

    /** Returns whether the text can be a key. */
    public static boolean isKey(String text) {
        if (text.isEmpty() || text.length() > MAX_LENGTH) {
            return false;
        }
        return text.chars().allMatch(c -> c > ' ' && c < 127);
    }

    @Override
    public String toString() {
        return value;
    }
}
