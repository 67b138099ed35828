package org.crocusgrade.core.claim;

import java.time.Instant;
import java.util.List;
import java.util.Objects;

/**
 * One entry of a claim log: what one group commit wrote.
 *
 * @param author an id of the writing run and its count, so that a writer knows its own entry
 * @param at when it was written, by the writer's wall clock
 * @param claimed the new claims
 * @param released the claims whose requests were certainly not run, and never will be under them
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
