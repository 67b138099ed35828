package org.crocusgrade.core.claim;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** The claims of one log, in memory, as of its last entry applied. Not safe for several threads. */
final class ClaimIndex {
    private final Map<ClaimId, Claim> claims = new HashMap<>();
    private final Deque<Applied> entries = new ArrayDeque<>();

    /**
     * Applies the log's next entry. A claim in it replaces one before it, since its writer had
     * already taken that one back, even if the release only follows in a later entry.
     */
    void apply(long sequence, ClaimBatch batch) {
        for (Claim claim : batch.claimed()) {
            claims.put(claim.id(), claim);
        }
        for (Claim claim : batch.released()) {
            release(claim);
        }
        entries.add(new Applied(sequence, batch));
    }

    /** Forgets a claim, if it is still the one in force. */
    void release(Claim claim) {
        claims.remove(claim.id(), claim);
    }

    Optional<Claim> find(ClaimId id) {
        return Optional.ofNullable(claims.get(id));
    }

    int size() {
        return claims.size();
    }

    /**
     * Forgets the oldest entry if it was written before the time; the last entry always stays, so
     * that the log's numbers never start again.
     *
     * @return the entry's number, to delete it from the store
     */
    OptionalLong expire(Instant before) {
        if (entries.size() < 2 || !entries.peekFirst().batch.at().isBefore(before)) {
            return OptionalLong.empty();
        }
        Applied oldest = entries.removeFirst();
        oldest.batch.claimed().forEach(this::release);
        return OptionalLong.of(oldest.sequence);
    }

    private record Applied(long sequence, ClaimBatch batch) {}
}
