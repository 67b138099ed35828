package org.crocusgrade.core.port;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.submission.StepId;

/**
 * The platform's service that decides which workers may run a step under its queue's policy. Each
 * Uni fails with a {@link PlatformException}.
 */
public interface AdviceService {
    /** Maximum number of workers in one request, set by the interface of the service. */
    int MAX_WORKERS = 100;

    /** Requests tickets for those of the given workers that may run a step. */
    Uni<Advice> requestTickets(StepId step, List<WorkerId> workers);

    /**
     * The workers that may run a step.
     *
     * @param tickets the tickets that allow the step, by worker; other workers may not run it
     * @param validity how long the tickets are valid
     */
    record Advice(Map<WorkerId, String> tickets, Duration validity) {
        /** Copies the map. */
        public Advice {
            tickets = Map.copyOf(tickets);
        }
    }
}
