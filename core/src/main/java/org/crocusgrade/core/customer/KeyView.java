package org.crocusgrade.core.customer;

import java.util.HashSet;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import org.crocusgrade.core.port.ClockReading;

/**
 * What a daemon knows of the customers' keys, and how recently the store confirmed it. Immutable.
 *
 * @param customers the customers of the configuration in force
 * @param confirmed when the newest confirmed read of the operators' entries was sent; empty before
 *     the first
 * @param unlisted keys in force that the newest configuration, which was rejected as malformed,
 *     does not list; it may have been written to withdraw them
 * @param listed when the last confirmed read was sent that listed the keys of {@code unlisted}
 */
public record KeyView(
        CustomerDirectory customers,
        Optional<ClockReading> confirmed,
        Set<ApiKey> unlisted,
        Optional<ClockReading> listed) {
    /** The view of a daemon that has read nothing. */
    public static final KeyView EMPTY =
            new KeyView(CustomerDirectory.NONE, Optional.empty(), Set.of(), Optional.empty());

    /** Copies the keys. */
    public KeyView {
        Objects.requireNonNull(customers);
        Objects.requireNonNull(confirmed);
        Objects.requireNonNull(listed);
        unlisted = Set.copyOf(unlisted);
    }

    /** Returns the view after the newest configuration was read and is in force. */
    public KeyView withAccepted(CustomerDirectory inForce) {
        return new KeyView(inForce, confirmed, Set.of(), Optional.empty());
    }

    /**
     * Returns the view after the newest configuration was rejected. The customers in force stay,
     * but later reads do not confirm the keys that the rejected configuration does not list.
     */
    public KeyView withRejected(Predicate<ApiKey> isListed) {
        Set<ApiKey> missing = new HashSet<>();
        for (Customer customer : customers.customers()) {
            customer.keys().stream().filter(isListed.negate()).forEach(missing::add);
        }
        // A second rejected configuration does not make keys that the first left out current again.
        return new KeyView(customers, confirmed, missing, unlisted.isEmpty() ? confirmed : listed);
    }

    /** Returns the view after a successful read that was sent at the given time. */
    public KeyView withConfirmed(ClockReading sent) {
        boolean older = confirmed.isPresent() && sent.nanos() - confirmed.get().nanos() < 0;
        return older ? this : new KeyView(customers, Optional.of(sent), unlisted, listed);
    }

    /** Returns when the last read was sent that confirms what this view tells of a key. */
    Optional<ClockReading> confirmed(ApiKey key) {
        return unlisted.contains(key) ? listed : confirmed;
    }
}
