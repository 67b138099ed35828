package org.crocusgrade.daemon.batch;

import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.id.QueueId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.submission.SubmissionId;

/**
 * What a caller asks of the owner of a pool.
 *
 * @param service the pool
 * @param operation what is asked
 * @param queue the queue by which the caller came
 * @param submission the submission; empty for a count
 * @param body what is handed in; empty otherwise
 * @param configVersion the configuration by which the caller's daemon chose the pool
 */
public record SubmissionCall(
        ServiceId service,
        Operation operation,
        QueueId queue,
        Optional<SubmissionId> submission,
        byte[] body,
        long configVersion) {
    /** Checks the fields. */
    public SubmissionCall {
        Objects.requireNonNull(service);
        Objects.requireNonNull(operation);
        Objects.requireNonNull(queue);
        Objects.requireNonNull(submission);
        Objects.requireNonNull(body);
    }

    /** Returns the same call to another pool. */
    SubmissionCall to(ServiceId other) {
        return new SubmissionCall(other, operation, queue, submission, body, configVersion);
    }

    /** What is asked. */
    public enum Operation {
        /** Take a submission. */
        SUBMIT,
        /** Tell a submission's state. */
        STATE,
        /** Cancel a submission. */
        CANCEL,
        /** Count the submissions that have not begun. */
        COUNT
    }
}
