package org.crocusgrade.core.submission;

import java.util.Objects;

/** Identifies one submission: 16 hexadecimal digits, chosen by the caller. */
public record SubmissionId(String value) implements Comparable<SubmissionId> {
    private static final int LENGTH = 16;

    /** Checks the text. */
    public SubmissionId {
        Objects.requireNonNull(value);
        if (!isId(value)) {
            throw new IllegalArgumentException("submission id must be 16 hexadecimal digits");
        }
    }

    /** Returns whether the text is a valid id. */
    public static boolean isId(String text) {
        if (text.length() != LENGTH) {
            return false;
        }
        for (int i = 0; i < LENGTH; i++) {
            if (Character.digit(text.charAt(i), LENGTH) < 0) {
                return false;
            }
        }
        return true;
    }

    @Override
    public int compareTo(SubmissionId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
