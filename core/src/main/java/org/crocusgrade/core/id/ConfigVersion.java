package org.crocusgrade.core.id;

/** The version of the active configuration; it only increases. */
public record ConfigVersion(long value) implements Comparable<ConfigVersion> {
    /** The version of a daemon that has no configuration yet. */
    public static final ConfigVersion NONE = new ConfigVersion(0);

    /** Checks the range. */
    public ConfigVersion {
        if (value < 0) {
            throw new IllegalArgumentException("configuration version must not be negative");
        }
    }

    /** Returns the version that the next publish makes. */
    public ConfigVersion next() {
        return new ConfigVersion(value + 1);
    }

    @Override
    public int compareTo(ConfigVersion other) {
        return Long.compare(value, other.value);
    }
}
