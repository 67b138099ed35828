package org.crocusgrade.core.claim;

import java.time.Instant;
import java.util.List;
import java.util.Objects;

/**
 * One entry of a claim log: the claims and releases of one group commit.
 *
 * @param author the id of the writer and the count of its batches, by which a writer recognizes its
 *     own entry
 * @param at when it was written, by the writer's wall clock
 * @param claimed the new claims
 * @param released the claims whose requests were not run and will never be run under them
 */
public record ClaimBatch(String author, Instant at, List<Claim> claimed, List<Claim> released) {
    /** Copies the lists. */
    public ClaimBatch {
        Objects.requireNonNull(author);
        Objects.requireNonNull(at);
        claimed = List.copyOf(claimed);
        released = List.copyOf(released);
    }
}
