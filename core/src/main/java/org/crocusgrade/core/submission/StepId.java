package org.crocusgrade.core.submission;

import java.util.Objects;

/**
 * Identifies one step of one occurrence of a submission.
 *
 * @param submission the submission
 * @param occurrence counted from 0; 0 for a submission that runs once
 * @param step the index of the step in the submission, counted from 0
 */
public record StepId(SubmissionId submission, int occurrence, int step) {
    /** Checks the fields. */
    public StepId {
        Objects.requireNonNull(submission);
        if (occurrence < 0 || step < 0) {
            throw new IllegalArgumentException("occurrence and step must not be negative");
        }
    }

    @Override
    public String toString() {
        return submission + "." + occurrence + "." + step;
    }
}
