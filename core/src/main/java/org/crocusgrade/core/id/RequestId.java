package org.crocusgrade.core.id;

import org.crocusgrade.core.misc.Names;

/** Names one attempt of one request, unique over the fleet. */
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
