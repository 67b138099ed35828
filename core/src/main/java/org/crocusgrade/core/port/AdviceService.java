package org.crocusgrade.core.port;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.submission.StepId;

/** Tells which workers a queue's policy allows. Each Uni fails with a {@link PlatformException}. */
public interface AdviceService {
    /** Most workers in one question, from the service's interface. */
    int MAX_WORKERS = 100;

    /** Asks which of some workers may run a step. */
    Uni<Advice> ask(StepId step, List<WorkerId> workers);

    /**
     * The answer.
     *
     * @param tickets the tickets of the workers that may run the step
     * @param validity how long the tickets hold
     */
    record Advice(Map<WorkerId, String> tickets, Duration validity) {
        /** Copies the map. */
        public Advice {
            tickets = Map.copyOf(tickets);
        }
    }
}
