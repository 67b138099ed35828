package org.crocusgrade.daemon.batch;

import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.id.QueueId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.submission.SubmissionId;

/**
 * A request of a caller to the owner of a pool.
 *
 * @param service the service of the pool
 * @param operation the requested operation
 * @param queue the queue through which the request came
 * @param customer the customer whose key the call carried; empty if it needed none
 * @param submission the submission; empty for a count
 * @param body the submitted document; empty for other operations
 * @param configVersion version of the configuration by which the daemon of the caller chose the
 *     pool
 */
public record SubmissionCall(
        ServiceId service,
        Operation operation,
        QueueId queue,
        Optional<CustomerId> customer,
        Optional<SubmissionId> submission,
        byte[] body,
        long configVersion) {
    /** Rejects null fields. */
    public SubmissionCall {
        Objects.requireNonNull(service);
        Objects.requireNonNull(operation);
        Objects.requireNonNull(queue);
        Objects.requireNonNull(customer);
        Objects.requireNonNull(submission);
        Objects.requireNonNull(body);
    }

    /**
     * Returns whether the caller may read, cancel or repeat a submission of the given customer. A
     * submission that was stored without a customer is open to all callers.
     */
    boolean mayAccess(Optional<CustomerId> owner) {
        return owner.isEmpty() || owner.equals(customer);
    }

    /** Returns the same call to the owner of another pool. */
    SubmissionCall to(ServiceId other) {
        return new SubmissionCall(
                other, operation, queue, customer, submission, body, configVersion);
    }

    /** The operations that a caller can request. */
    public enum Operation {
        /** Accept a submission. */
        SUBMIT,
        /** Return the state of a submission. */
        STATE,
        /** Cancel a submission. */
        CANCEL,
        /** Count the submissions of the queue that have not begun. */
        COUNT
    }
}
