package org.crocusgrade.core.id;

import org.crocusgrade.core.misc.Names;

/** The id of a queue: a route by which callers reach a service. */
public record QueueId(String value) implements Comparable<QueueId> {
    /** Checks the text. */
    public QueueId {
        Names.requireName("queue id", value);
    }

    @Override
    public int compareTo(QueueId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
