package org.crocusgrade.core.id;

import org.crocusgrade.core.misc.Names;

/** The id of a request or of one of its attempts, unique in the fleet. */
public record RequestId(String value) implements Comparable<RequestId> {
    /** Checks the text. */
    public RequestId {
        Names.requireName("request id", value);
    }

    @Override
    public int compareTo(RequestId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
