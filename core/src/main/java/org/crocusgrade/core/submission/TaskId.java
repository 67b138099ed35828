package org.crocusgrade.core.submission;

import java.util.Objects;
import java.util.Optional;

/**
 * Identifies one task of a step.
 *
 * @param step the step
 * @param index the index of the task in the step, counted from 0
 */
public record TaskId(StepId step, int index) {
    private static final int PARTS = 4;

    /** Checks the fields. */
    public TaskId {
        Objects.requireNonNull(step);
        if (index < 0) {
            throw new IllegalArgumentException("index must not be negative");
        }
    }

    /** Parses an id as formatted by {@link #toString}; returns empty if the text is not valid. */
    public static Optional<TaskId> parse(String text) {
        String[] parts = text.split("\\.", -1);
        if (parts.length != PARTS || !SubmissionId.isId(parts[0])) {
            return Optional.empty();
        }
        try {
            StepId step =
                    new StepId(
                            new SubmissionId(parts[0]),
                            Integer.parseInt(parts[1]),
                            Integer.parseInt(parts[2]));
            return Optional.of(new TaskId(step, Integer.parseInt(parts[3])));
        } catch (IllegalArgumentException e) {
            return Optional.empty();
        }
    }

    @Override
    public String toString() {
        return step + "." + index;
    }
}
