package org.crocusgrade.core.id;

import org.crocusgrade.core.misc.Names;

/** The id of the customer on whose behalf a caller sends a request; quotas are set per customer. */
public record CustomerId(String value) implements Comparable<CustomerId> {
    /** Checks the text. */
    public CustomerId {
        Names.requireName("customer id", value);
    }

    @Override
    public int compareTo(CustomerId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
