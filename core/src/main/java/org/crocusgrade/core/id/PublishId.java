package org.crocusgrade.core.id;

import org.crocusgrade.core.misc.Names;

/** The id of one configuration publish, chosen by its publisher. */
public record PublishId(String value) implements Comparable<PublishId> {
    /** Checks the text. */
    public PublishId {
        Names.requireName("publish id", value);
    }

    @Override
    public int compareTo(PublishId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
