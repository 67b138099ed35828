package org.crocusgrade.core.id;

import org.crocusgrade.core.misc.Names;

/** The name of a worker. */
public record WorkerId(String value) implements Comparable<WorkerId> {
    /** Checks the text. */
    public WorkerId {
        Names.requireName("worker id", value);
    }

    @Override
    public int compareTo(WorkerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
