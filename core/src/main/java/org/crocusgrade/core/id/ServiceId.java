package org.crocusgrade.core.id;

import org.crocusgrade.core.misc.Names;

/** The name of a service. */
public record ServiceId(String value) implements Comparable<ServiceId> {
    /** Checks the text. */
    public ServiceId {
        Names.requireName("service id", value);
    }

    @Override
    public int compareTo(ServiceId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
