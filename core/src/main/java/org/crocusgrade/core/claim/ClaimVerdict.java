package org.crocusgrade.core.claim;

import java.util.Objects;
import java.util.Optional;

/**
 * The answer to a request to claim a key.
 *
 * @param kind the outcome
 * @param earlier the claim that holds the key, for {@link Kind#TAKEN}
 */
public record ClaimVerdict(Kind kind, Optional<Claim> earlier) {
    /** The key is now claimed, durably. */
    public static final ClaimVerdict GRANTED = new ClaimVerdict(Kind.GRANTED, Optional.empty());

    /** It is unknown whether the key was claimed. */
    public static final ClaimVerdict UNAVAILABLE =
            new ClaimVerdict(Kind.UNAVAILABLE, Optional.empty());

    /** Checks the fields. */
    public ClaimVerdict {
        Objects.requireNonNull(kind);
        if ((kind == Kind.TAKEN) != earlier.isPresent()) {
            throw new IllegalArgumentException(
                    "an earlier claim must be given for TAKEN and for no other kind");
        }
    }

    /** Returns the verdict on a key that an earlier claim holds. */
    public static ClaimVerdict taken(Claim earlier) {
        return new ClaimVerdict(Kind.TAKEN, Optional.of(earlier));
    }

    /** The outcome of a request to claim a key. */
    public enum Kind {
        /** The claim is durable and the request may be sent. */
        GRANTED,
        /** An earlier claim holds the key. */
        TAKEN,
        /** The claim may or may not have been made; the request must not be sent. */
        UNAVAILABLE
    }
}
