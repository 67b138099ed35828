package org.crocusgrade.core.id;

import org.crocusgrade.core.misc.Names;

/** The id of a daemon: the same across restarts of its process. */
public record DaemonId(String value) implements Comparable<DaemonId> {
    /** Checks the text. */
    public DaemonId {
        Names.requireName("daemon id", value);
    }

    @Override
    public int compareTo(DaemonId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
