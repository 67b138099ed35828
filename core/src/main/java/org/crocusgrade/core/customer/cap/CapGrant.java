package org.crocusgrade.core.customer.cap;

import java.util.Map;
import java.util.Optional;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.submission.Resources;

/**
 * The limits for one ownership of a pool. Each grant replaces the one before.
 *
 * @param token the fencing token of the fleet duty's holder that issues it
 * @param sequence increases with each grant of the holder
 * @param ownerToken the fencing token of the owner that it is for
 * @param limits the limit of each customer with a cap; an empty limit leaves the one in force. A
 *     resource that the cap leaves unlimited has the amount {@link CapAllocator#UNLIMITED}
 */
public record CapGrant(
        long token, long sequence, long ownerToken, Map<CustomerId, Optional<Resources>> limits) {
    /** Copies the limits. */
    public CapGrant {
        limits = Map.copyOf(limits);
    }

    /** Returns whether another grant of the same or another holder is newer than this one. */
    boolean isOlderThan(long otherToken, long otherSequence) {
        return token < otherToken || token == otherToken && sequence < otherSequence;
    }
}
