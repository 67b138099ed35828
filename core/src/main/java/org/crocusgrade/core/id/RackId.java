package org.crocusgrade.core.id;

import org.crocusgrade.core.misc.Names;

/** The name of a rack of workers. */
public record RackId(String value) implements Comparable<RackId> {
    /** Checks the text. */
    public RackId {
        Names.requireName("rack id", value);
    }

    @Override
    public int compareTo(RackId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
