package org.crocusgrade.core.id;

import org.crocusgrade.core.misc.Names;

/** The name of a region of availability zones. */
public record Region(String value) implements Comparable<Region> {
    /** Checks the text. */
    public Region {
        Names.requireName("region", value);
    }

    @Override
    public int compareTo(Region other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
