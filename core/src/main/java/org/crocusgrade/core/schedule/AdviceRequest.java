package org.crocusgrade.core.schedule;

import java.util.List;
import java.util.Objects;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.submission.StepId;

/**
 * A request to the advice service: which of some workers may run a step.
 *
 * @param step the step
 * @param workers the candidates, as they were when the request was made
 */
public record AdviceRequest(TrackedStep step, List<WorkerNode> workers) {
    /** Copies the list. */
    public AdviceRequest {
        Objects.requireNonNull(step);
        workers = List.copyOf(workers);
    }

    public StepId stepId() {
        return step.id();
    }

    public List<WorkerId> workerIds() {
        return workers.stream().map(WorkerNode::id).toList();
    }
}
