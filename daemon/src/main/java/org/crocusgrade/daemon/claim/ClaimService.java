package org.crocusgrade.daemon.claim;

import java.time.Duration;
import java.util.function.Consumer;
import org.crocusgrade.core.claim.Claim;
import org.crocusgrade.core.claim.ClaimVerdict;

/** Claims keys for this daemon's requests; callable from any thread. */
public interface ClaimService {
    /**
     * Wishes to claim a key.
     *
     * @param timeout after this the verdict is {@code UNAVAILABLE} and the claim is given back
     * @param verdict gets the verdict once, on the control thread
     */
    void claim(Claim claim, Duration timeout, Consumer<ClaimVerdict> verdict);

    /**
     * Gives a claim back whose request was not run and never will be.
     *
     * @param done runs once the claim's keeper knows, or soon after in any case
     */
    void release(Claim claim, Runnable done);
}
