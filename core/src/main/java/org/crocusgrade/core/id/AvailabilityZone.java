package org.crocusgrade.core.id;

import org.crocusgrade.core.misc.Names;

/** The name of an availability zone. */
public record AvailabilityZone(String value) implements Comparable<AvailabilityZone> {
    /** Checks the text. */
    public AvailabilityZone {
        Names.requireName("availability zone", value);
    }

    @Override
    public int compareTo(AvailabilityZone other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
