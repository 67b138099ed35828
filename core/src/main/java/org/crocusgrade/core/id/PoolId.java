package org.crocusgrade.core.id;

import org.crocusgrade.core.misc.Names;

/** The name of a pool of workers. */
public record PoolId(String value) implements Comparable<PoolId> {
    /** Checks the text. */
    public PoolId {
        Names.requireName("pool id", value);
    }

    @Override
    public int compareTo(PoolId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
