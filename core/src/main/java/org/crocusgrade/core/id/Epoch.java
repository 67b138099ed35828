package org.crocusgrade.core.id;

/**
 * A counter that increases each time a role or worker gets a new holder; it fences older holders.
 */
public record Epoch(long value) implements Comparable<Epoch> {
    /** The epoch before any holder. */
    public static final Epoch NONE = new Epoch(0);

    /** Checks the range. */
    public Epoch {
        if (value < 0) {
            throw new IllegalArgumentException("epoch must not be negative");
        }
    }

    /** Returns the epoch of the next holder. */
    public Epoch next() {
        return new Epoch(value + 1);
    }

    @Override
    public int compareTo(Epoch other) {
        return Long.compare(value, other.value);
    }
}
