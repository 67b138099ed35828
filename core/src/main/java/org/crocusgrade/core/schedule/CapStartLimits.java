package org.crocusgrade.core.schedule;

import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.customer.cap.CapLedger;
import org.crocusgrade.core.submission.Resources;

/** Keeps customers with a resource cap within the limits of a {@link CapLedger}. */
public final class CapStartLimits implements StartLimits {
    private final CapLedger ledger;

    /** Applies the limits that the ledger has at the time of each call. */
    public CapStartLimits(CapLedger ledger) {
        this.ledger = Objects.requireNonNull(ledger);
    }

    @Override
    public boolean mayStart(TrackedSubmission submission, Resources demand) {
        return submission.customer().isEmpty()
                || ledger.mayStart(
                        submission.customer().get(), submission.customerRunning(), demand);
    }

    @Override
    public Optional<Resources> limit(TrackedSubmission submission) {
        return submission.customer().flatMap(ledger::findLimit);
    }
}
