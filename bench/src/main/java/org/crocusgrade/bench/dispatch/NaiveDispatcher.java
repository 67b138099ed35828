package org.crocusgrade.bench.dispatch;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.crocusgrade.core.dispatch.Attempt;
import org.crocusgrade.core.dispatch.DispatchActions;
import org.crocusgrade.core.dispatch.Reason;
import org.crocusgrade.core.dispatch.Request;
import org.crocusgrade.core.dispatch.RunEnd;
import org.crocusgrade.core.dispatch.WorkerGrant;
import org.crocusgrade.core.id.WorkerId;

/**
 * Baseline for comparisons: one bounded FIFO queue and round-robin over the workers. An attempt
 * that may be repeated is retried at once, ahead of the queue. The deadline of a request is checked
 * only when it reaches the head of the queue.
 */
public final class NaiveDispatcher implements Dispatcher {
    private static final int MAX_ATTEMPTS = 3;

    private final DispatchActions actions;
    private final int queueBound;
    private final Deque<Entry> waiting = new ArrayDeque<>();
    private final Map<WorkerId, Integer> freeSlots = new HashMap<>();
    private final List<WorkerId> workers = new ArrayList<>();
    private int lastWorkerIndex;

    /** Creates a dispatcher without slots and with the given queue bound. */
    public NaiveDispatcher(DispatchActions actions, int queueBound) {
        this.actions = actions;
        this.queueBound = queueBound;
    }

    @Override
    public void offer(Request request, long now) {
        if (waiting.size() >= queueBound) {
            actions.answer(request, Reason.QUEUE_FULL, Optional.empty());
            return;
        }
        waiting.add(new Entry(request, 1));
        startWaiting(now);
    }

    @Override
    public void granted(WorkerGrant grant, long now) {
        freeSlots.put(grant.worker(), grant.slots());
        workers.add(grant.worker());
        startWaiting(now);
    }

    @Override
    public void finished(Attempt attempt, RunEnd end, long now) {
        freeSlots.merge(attempt.worker(), 1, Integer::sum);
        boolean retryable = attempt.request().idempotent() || end.provesNotRun();
        if (end == RunEnd.ANSWERED) {
            actions.deliver(attempt);
        } else if (retryable && attempt.number() < MAX_ATTEMPTS) {
            waiting.addFirst(new Entry(attempt.request(), attempt.number() + 1));
        } else if (end.hasAnswer()) {
            actions.deliver(attempt);
        } else {
            actions.answer(attempt.request(), Reason.CONNECTION_LOST, Optional.empty());
        }
        startWaiting(now);
    }

    private void startWaiting(long now) {
        while (!waiting.isEmpty()) {
            Entry entry = waiting.peek();
            if (entry.request.deadlineNanos() - now <= 0) {
                waiting.remove();
                boolean first = entry.number == 1;
                Reason reason = first ? Reason.DEADLINE_PASSED : Reason.RETRY_GIVEN_UP;
                actions.answer(entry.request, reason, Optional.empty());
                continue;
            }
            Optional<WorkerId> worker = nextWorkerWithFreeSlot();
            if (worker.isEmpty()) {
                return;
            }
            waiting.remove();
            freeSlots.merge(worker.get(), -1, Integer::sum);
            actions.start(new Attempt(entry.request, entry.number, worker.get()));
        }
    }

    private Optional<WorkerId> nextWorkerWithFreeSlot() {
        for (int i = 0; i < workers.size(); i++) {
            lastWorkerIndex = (lastWorkerIndex + 1) % workers.size();
            if (freeSlots.get(workers.get(lastWorkerIndex)) > 0) {
                return Optional.of(workers.get(lastWorkerIndex));
            }
        }
        return Optional.empty();
    }

    @Override
    public void tick(long now) {}

    @Override
    public long nextWakeNanos() {
        return Long.MAX_VALUE;
    }

    private record Entry(Request request, int number) {}
}
