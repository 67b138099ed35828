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
    /**
     * Maximum number of tasks in all occurrences. The progress of each is a part of one record of
     * the store, which is written with each change.
     */
    public static final int MAX_TASKS = 20_000;

    /**
     * Copies the list, and checks that each step depends only on earlier ones and that there are
     * not too many tasks.
     */
    public SubmissionSpec {
        Objects.requireNonNull(payload);
        Objects.requireNonNull(recurrence);
        steps = List.copyOf(steps);
        if (steps.isEmpty()) {
            throw new IllegalArgumentException("a submission needs a step");
        }
        long tasks = tasks(steps);
        long total = saturatedProduct(tasks, recurrence.map(Recurrence::times).orElse(1));
        if (total > MAX_TASKS) {
            throw new IllegalArgumentException(total + " tasks, at most " + MAX_TASKS);
        }
        for (int i = 0; i < steps.size(); i++) {
            for (int before : steps.get(i).after()) {
                if (before < 0 || before >= i) {
                    throw new IllegalArgumentException("step " + i + " waits for " + before);
                }
            }
        }
    }

    private static long saturatedProduct(long tasks, int times) {
        return tasks > Long.MAX_VALUE / times ? Long.MAX_VALUE : tasks * times;
    }

    private static long tasks(List<StepSpec> steps) {
        long sum = 0;
        for (StepSpec step : steps) {
            sum += step.tasks();
        }
        return sum;
    }

    /** Returns the number of tasks of all steps in one occurrence. */
    public int tasksPerOccurrence() {
        return (int) tasks(steps);
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
