package org.crocusgrade.core.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Objects;
import java.util.regex.Pattern;

/**
 * The content address of a stored file: the SHA-256 of its UTF-8 bytes, in lower-case hexadecimal.
 */
public record BlobId(String value) implements Comparable<BlobId> {
    private static final Pattern FORM = Pattern.compile("[0-9a-f]{64}");

    /** Throws IllegalArgumentException unless the value is 64 lower-case hexadecimal digits. */
    public BlobId {
        Objects.requireNonNull(value, "blob id");
        if (!FORM.matcher(value).matches()) {
            throw new IllegalArgumentException("blob id must be 64 lower-case hexadecimal digits");
        }
    }

    /** Computes the id of a file with this text. */
    public static BlobId of(String text) {
        try {
            byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
            byte[] digest = MessageDigest.getInstance("SHA-256").digest(bytes);
            return new BlobId(HexFormat.of().formatHex(digest));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException(
                    "SHA-256 is not available, although every Java runtime must provide it", e);
        }
    }

    @Override
    public int compareTo(BlobId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
