package org.crocusgrade.core.claim;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;

/** The claims of one log in memory, up to the last entry applied. Not thread-safe. */
final class ClaimIndex {
    private final Map<ClaimId, Claim> claims = new HashMap<>();
    private final Deque<AppliedEntry> entries = new ArrayDeque<>();

    /**
     * Applies the log's next entry. A claim in it replaces an earlier one of the same key: its
     * writer had already released that one, even if the release is only written in a later entry.
     */
    void apply(long sequence, ClaimBatch batch) {
        for (Claim claim : batch.claimed()) {
            claims.put(claim.id(), claim);
        }
        for (Claim claim : batch.released()) {
            release(claim);
        }
        entries.add(new AppliedEntry(sequence, batch));
    }

    /** Removes a claim, unless a later claim of the same key has replaced it. */
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
     * Removes the oldest entry and its claims if it was written before the given time. The last
     * entry is never removed, because the next sequence number is derived from it when the log is
     * loaded; without it, the numbers would start again.
     *
     * @return the entry's sequence number, by which it is to be deleted from the store
     */
    OptionalLong expire(Instant before) {
        if (entries.size() < 2 || !entries.peekFirst().batch.at().isBefore(before)) {
            return OptionalLong.empty();
        }
        AppliedEntry oldest = entries.removeFirst();
        oldest.batch.claimed().forEach(this::release);
        return OptionalLong.of(oldest.sequence);
    }

    private record AppliedEntry(long sequence, ClaimBatch batch) {}
}
