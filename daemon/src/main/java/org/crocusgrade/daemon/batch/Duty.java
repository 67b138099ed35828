package org.crocusgrade.daemon.batch;

import java.util.Objects;
import org.crocusgrade.core.id.ServiceId;

/**
 * A role that one daemon at a time holds under its lease.
 *
 * @param name the name of the role, also used in the keys of the store
 */
public record Duty(String name) implements Comparable<Duty> {
    /** The role of moving and maintaining hosts. */
    public static final Duty FLEET = new Duty("fleet");

    private static final String POOL_PREFIX = "pool.";

    /** Rejects a null name. */
    public Duty {
        Objects.requireNonNull(name);
    }

    /** Returns the role of sending orders to the workers of a service's pool. */
    public static Duty pool(ServiceId service) {
        return new Duty(POOL_PREFIX + service);
    }

    /**
     * Returns the service whose pool this duty covers; valid only for duties made by {@link #pool}.
     */
    ServiceId service() {
        return new ServiceId(name.substring(POOL_PREFIX.length()));
    }

    @Override
    public int compareTo(Duty other) {
        return name.compareTo(other.name);
    }

    @Override
    public String toString() {
        return name;
    }
}
