package org.crocusgrade.core.id;

import org.crocusgrade.core.misc.Names;

/** The id of one run of a daemon process: new at each start. */
public record BootId(String value) implements Comparable<BootId> {
    /** Checks the text. */
    public BootId {
        Names.requireName("boot id", value);
    }

    @Override
    public int compareTo(BootId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
