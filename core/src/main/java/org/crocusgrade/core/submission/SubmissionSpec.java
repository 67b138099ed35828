package org.crocusgrade.core.submission;

import java.util.List;
import java.util.Objects;
import java.util.Optional;

/**
 * A submission as requested by a caller.
 *
 * @param payload a text that is passed to the worker of each task
 * @param steps the steps, each after those that it depends on
 * @param recurrence when the steps run, if more than once or at a set time
 */
public record SubmissionSpec(
        String payload, List<StepSpec> steps, Optional<Recurrence> recurrence) {
    /** Copies the list and checks that each step depends only on earlier ones. */
    public SubmissionSpec {
        Objects.requireNonNull(payload);
        Objects.requireNonNull(recurrence);
        steps = List.copyOf(steps);
        if (steps.isEmpty()) {
            throw new IllegalArgumentException("a submission needs a step");
        }
        for (int i = 0; i < steps.size(); i++) {
            for (int before : steps.get(i).after()) {
                if (before < 0 || before >= i) {
                    throw new IllegalArgumentException("step " + i + " waits for " + before);
                }
            }
        }
    }

    /** Returns how often the steps run. */
    public int occurrences() {
        return recurrence.map(Recurrence::times).orElse(1);
    }

    /** Returns whether a step runs until the submission is cancelled. */
    public boolean isLongRunning() {
        return steps.stream().anyMatch(StepSpec::longRunning);
    }
}
