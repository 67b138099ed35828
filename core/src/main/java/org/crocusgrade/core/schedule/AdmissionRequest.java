package org.crocusgrade.core.schedule;

import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.config.QueueRoute;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.submission.SubmissionId;
import org.crocusgrade.core.submission.SubmissionSpec;

/**
 * A submission that is to be accepted or refused.
 *
 * @param customer the customer on whose behalf it is submitted, if there is one
 */
public record AdmissionRequest(
        SubmissionId id, Optional<CustomerId> customer, QueueRoute route, SubmissionSpec spec) {
    /** Checks the fields. */
    public AdmissionRequest {
        Objects.requireNonNull(id);
        Objects.requireNonNull(customer);
        Objects.requireNonNull(route);
        Objects.requireNonNull(spec);
    }
}
