package org.crocusgrade.core.claim;

import java.util.Objects;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;

/**
 * One daemon's claim to run the request of a key.
 *
 * @param id the key
 * @param fingerprint the request, to tell reuse of the key with another
 * @param holder the daemon that runs it
 * @param holderBoot that daemon's run
 */
public record Claim(ClaimId id, long fingerprint, DaemonId holder, BootId holderBoot) {
    /** Checks the fields. */
    public Claim {
        Objects.requireNonNull(id);
        Objects.requireNonNull(holder);
        Objects.requireNonNull(holderBoot);
    }
}
