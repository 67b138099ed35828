package org.crocusgrade.core.id;

import org.crocusgrade.core.misc.Names;

/** The id of a host. A worker is one incarnation of a host in one pool. */
public record HostId(String value) implements Comparable<HostId> {
    /** Checks the text. */
    public HostId {
        Names.requireName("host id", value);
    }

    @Override
    public int compareTo(HostId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
