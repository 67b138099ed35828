package org.crocusgrade.daemon.claim;

import java.time.Duration;
import java.util.function.Consumer;
import org.crocusgrade.core.claim.Claim;
import org.crocusgrade.core.claim.ClaimVerdict;

/**
 * Claims idempotency keys for the requests of this daemon. All methods may be called from any
 * thread.
 */
public interface ClaimService {
    /**
     * Requests a claim.
     *
     * @param timeout after this the verdict is {@code UNAVAILABLE}, and the claim is released in
     *     case it was granted
     * @param verdict called once with the verdict, on the control thread
     */
    void claim(Claim claim, Duration timeout, Consumer<ClaimVerdict> verdict);

    /**
     * Releases a claim whose request was not run and will not be run under it.
     *
     * @param done runs when the daemon that writes the claim's log has handled the release, or
     *     after a short timeout
     */
    void release(Claim claim, Runnable done);
}
