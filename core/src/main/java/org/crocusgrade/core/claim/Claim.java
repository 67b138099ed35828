package org.crocusgrade.core.claim;

import java.util.Objects;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;

/**
 * A claim that one daemon's process made to run the request of an idempotency key.
 *
 * @param id the key
 * @param fingerprint a digest of the request, to detect that the key is reused with another request
 * @param holder the daemon that runs the request
 * @param holderBoot the boot id of that daemon's process
 */
public record Claim(ClaimId id, long fingerprint, DaemonId holder, BootId holderBoot) {
    /** Checks the fields. */
    public Claim {
        Objects.requireNonNull(id);
        Objects.requireNonNull(holder);
        Objects.requireNonNull(holderBoot);
    }
}
