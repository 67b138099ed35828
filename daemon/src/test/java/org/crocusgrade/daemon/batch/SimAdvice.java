package org.crocusgrade.daemon.batch;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.AdviceService;
import org.crocusgrade.core.submission.StepId;

/**
 * The simulated advice service as one daemon uses it: it handles the requests of the daemon one
 * after the other, and allows each step on two of the four workers.
 */
final class SimAdvice implements AdviceService {
    static final Duration VALIDITY = Duration.ofMillis(2500);
    static final Duration DECIDE = Duration.ofMillis(40);
    static final Duration PER_WORKER = Duration.ofMillis(5);

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final SimTime time;
    private final Map<WorkerId, SimWorker> workers;
    private long busyUntilNanos;

    SimAdvice(SimTime time, Map<WorkerId, SimWorker> workers) {
        this.time = time;
        this.workers = workers;
    }

    @Override
    public Uni<Advice> requestTickets(StepId step, List<WorkerId> candidates) {
        Duration takes = DECIDE.plus(PER_WORKER.multipliedBy(candidates.size()));
        long now = time.nanoTime();
        busyUntilNanos = Math.max(busyUntilNanos, now) + takes.toNanos();
        long waits = (busyUntilNanos - now) / NANOS_PER_MILLI;
        return Uni.createFrom()
                .emitter(e -> time.afterMillis(waits, () -> e.complete(answer(step, candidates))));
    }

    private Advice answer(StepId step, List<WorkerId> candidates) {
        Map<WorkerId, String> tickets = new HashMap<>();
        for (WorkerId id : candidates) {
            if (isAllowed(step, id)) {
                long until = time.millis() + VALIDITY.toMillis();
                tickets.put(id, step + " " + workers.get(id).incarnation() + " " + until);
            }
        }
        return new Advice(tickets, VALIDITY);
    }

    /** Returns whether a worker may run a step; two of the four workers may run each step. */
    static boolean isAllowed(StepId step, WorkerId worker) {
        int chosen = Math.floorMod(step.toString().hashCode(), 4);
        int number = worker.value().charAt(1) - '0';
        return number == chosen || number == (chosen + 1) % 4;
    }

    /**
     * Returns whether a ticket allows a step on the given incarnation of a worker at the given
     * time.
     */
    static boolean isValid(String ticket, StepId step, int incarnation, long millis) {
        String[] parts = ticket.split(" ");
        return parts[0].equals(step.toString())
                && Integer.parseInt(parts[1]) == incarnation
                && Long.parseLong(parts[2]) > millis;
    }
}
