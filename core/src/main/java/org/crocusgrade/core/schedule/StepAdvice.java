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
 * What the advice service has said of one step. Which workers are allowed never changes; a ticket
 * holds for one incarnation of a worker, and only for a while.
 */
final class StepAdvice {
    /** A ticket must outlive the way of the start that carries it, in nanoseconds. */
    private static final long MARGIN_NANOS = 300_000_000L;

    /** The part of a short validity that is left for that at most. */
    private static final int MARGIN_PART = 4;

    private final Map<WorkerNode, Ticket> tickets = new HashMap<>();
    private final Set<WorkerId> allowed = new HashSet<>();
    private final Set<WorkerId> denied = new HashSet<>();
    private boolean open;
    private long pauseUntilNanos = Long.MIN_VALUE;

    /** Returns the ticket with which a start on a worker may be ordered now. */
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

    /** Returns whether a question may be sent: none is open, and no pause holds. */
    boolean mayAsk(long now) {
        return !open && (pauseUntilNanos == Long.MIN_VALUE || now - pauseUntilNanos >= 0);
    }

    void setOpen() {
        open = true;
    }

    /** Forgets a ticket that a worker did not take. */
    void forget(WorkerNode worker) {
        tickets.remove(worker);
    }

    void take(AdviceRequest question, Advice advice, long now) {
        open = false;
        Duration validity = advice.validity();
        long margin = Math.min(MARGIN_NANOS, validity.toNanos() / MARGIN_PART);
        tickets.values().removeIf(t -> now - t.untilNanos >= 0);
        for (WorkerNode worker : question.workers()) {
            String text = advice.tickets().get(worker.id());
            if (text == null) {
                denied.add(worker.id());
                continue;
            }
            allowed.add(worker.id());
            tickets.put(worker, new Ticket(text, now + validity.toNanos() - margin));
        }
    }

    void noAnswer(long untilNanos) {
        open = false;
        pauseUntilNanos = untilNanos;
    }

    private record Ticket(String text, long untilNanos) {}
}
