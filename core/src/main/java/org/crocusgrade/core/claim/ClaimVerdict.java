package org.crocusgrade.core.claim;

import java.util.Objects;
import java.util.Optional;

/**
 * The answer to the wish to claim a key.
 *
 * @param kind what it says
 * @param earlier the claim that was there before, for {@link Kind#TAKEN}
 */
public record ClaimVerdict(Kind kind, Optional<Claim> earlier) {
    /** The key is now claimed, durably. */
    public static final ClaimVerdict GRANTED = new ClaimVerdict(Kind.GRANTED, Optional.empty());

    /** Whether the key is claimed cannot be told. */
    public static final ClaimVerdict UNAVAILABLE =
            new ClaimVerdict(Kind.UNAVAILABLE, Optional.empty());

    /** Checks the fields. */
    public ClaimVerdict {
        Objects.requireNonNull(kind);
        if ((kind == Kind.TAKEN) != earlier.isPresent()) {
            throw new IllegalArgumentException("only a taken key has an earlier claim");
        }
    }

    /** Returns the verdict on a key that was claimed before. */
    public static ClaimVerdict taken(Claim earlier) {
        return new ClaimVerdict(Kind.TAKEN, Optional.of(earlier));
    }

    /** What a verdict says. */
    public enum Kind {
        /** The claim is durable and the request may be sent. */
        GRANTED,
        /** Another claim was there first. */
        TAKEN,
        /** The claim may or may not have been made; the request must not be sent. */
        UNAVAILABLE
    }
}
