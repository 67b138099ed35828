package org.crocusgrade.core.id;

import java.security.SecureRandom;
import org.crocusgrade.core.misc.Names;

/** The id of one run of a daemon process: new at each start. */
public record BootId(String value) implements Comparable<BootId> {
    private static final SecureRandom RANDOM = new SecureRandom();

    /** Checks the text. */
    public BootId {
        Names.requireName("boot id", value);
    }

    /**
     * Returns the id of a new process. It is random, because the time of day may be set back: a
     * process that started at the time of an earlier one would continue its calls and duties.
     */
    public static BootId random() {
        return new BootId(String.format("%016x", RANDOM.nextLong()));
    }

    @Override
    public int compareTo(BootId other) {
        return value.compareTo(other.value);
    }

    @Override
    public String toString() {
        return value;
    }
}
