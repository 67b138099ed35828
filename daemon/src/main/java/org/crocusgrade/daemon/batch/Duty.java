package org.crocusgrade.daemon.batch;

import java.util.Objects;
import org.crocusgrade.core.id.ServiceId;

/**
 * A right that one daemon holds at a time.
 *
 * @param name what it is the right to
 */
public record Duty(String name) implements Comparable<Duty> {
    /** The right to move hosts and to maintain them. */
    public static final Duty FLEET = new Duty("fleet");

    private static final String POOL_PREFIX = "pool.";

    /** Checks the field. */
    public Duty {
        Objects.requireNonNull(name);
    }

    /** Returns the right to order the workers of a service's pool. */
    public static Duty pool(ServiceId service) {
        return new Duty(POOL_PREFIX + service);
    }

    /** Returns the service whose pool it is the right to. */
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
