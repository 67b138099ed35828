package org.crocusgrade.core.schedule;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.AdviceService.Advice;

/**
 * The answers of the advice service for one step. Whether a worker is allowed never changes; a
 * ticket is valid for one incarnation of a worker, and only for a limited time.
 */
final class StepAdvice {
    /**
     * Subtracted from the validity of a ticket, which must last until the start order that carries
     * it arrives, in nanoseconds.
     */
    private static final long MARGIN_NANOS = 300_000_000L;

    /** The margin is at most the validity divided by this, so that short validities can be used. */
    private static final int MARGIN_DIVISOR = 4;

    private final Map<WorkerNode, Ticket> tickets = new HashMap<>();
    private final Set<WorkerId> allowed = new HashSet<>();
    private final Set<WorkerId> denied = new HashSet<>();
    private boolean pending;
    private long pauseUntilNanos = Long.MIN_VALUE;

    /** Returns the ticket for a start on a worker, if there is a valid one. */
    Optional<String> ticket(WorkerNode worker, long now) {
        Ticket held = tickets.get(worker);
        return held == null || now - held.untilNanos >= 0
                ? Optional.empty()
                : Optional.of(held.text);
    }

    boolean isAllowed(WorkerNode worker) {
        return allowed.contains(worker.id());
    }

    boolean isDenied(WorkerNode worker) {
        return denied.contains(worker.id());
    }

    /**
     * Returns whether a request may be sent: none is pending, and the delay after a failed one is
     * over.
     */
    boolean mayRequest(long now) {
        return !pending && (pauseUntilNanos == Long.MIN_VALUE || now - pauseUntilNanos >= 0);
    }

    void setPending() {
        pending = true;
    }

    /** Removes a ticket that its worker rejected. */
    void removeTicket(WorkerNode worker) {
        tickets.remove(worker);
    }

    void apply(AdviceRequest request, Advice advice, long now) {
        pending = false;
        Duration validity = advice.validity();
        long margin = Math.min(MARGIN_NANOS, validity.toNanos() / MARGIN_DIVISOR);
        tickets.values().removeIf(t -> now - t.untilNanos >= 0);
        for (WorkerNode worker : request.workers()) {
            String text = advice.tickets().get(worker.id());
            if (text == null) {
                denied.add(worker.id());
                continue;
            }
            allowed.add(worker.id());
            tickets.put(worker, new Ticket(text, now + validity.toNanos() - margin));
        }
    }

    void onNoAnswer(long untilNanos) {
        pending = false;
        pauseUntilNanos = untilNanos;
    }

    private record Ticket(String text, long untilNanos) {}
}
