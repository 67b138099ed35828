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
 * The plain way: one bounded queue, first in first out, the workers in turn, and another try at
 * once for what may be tried again. A request is given up when its turn comes after its deadline.
 */
public final class NaiveDispatcher implements Dispatcher {
    private static final int MOST_ATTEMPTS = 3;

    private final DispatchActions actions;
    private final int bound;
    private final Deque<Entry> waiting = new ArrayDeque<>();
    private final Map<WorkerId, Integer> free = new HashMap<>();
    private final List<WorkerId> workers = new ArrayList<>();
    private int turn;

    /** Makes a dispatcher without slots. */
    public NaiveDispatcher(DispatchActions actions, int bound) {
        this.actions = actions;
        this.bound = bound;
    }

    @Override
    public void offer(Request request, long now) {
        if (waiting.size() >= bound) {
            actions.answer(request, Reason.QUEUE_FULL, Optional.empty());
            return;
        }
        waiting.add(new Entry(request, 1));
        startAll(now);
    }

    @Override
    public void granted(WorkerGrant grant, long now) {
        free.put(grant.worker(), grant.slots());
        workers.add(grant.worker());
        startAll(now);
    }

    @Override
    public void finished(Attempt attempt, RunEnd end, long now) {
        free.merge(attempt.worker(), 1, Integer::sum);
        boolean again = attempt.request().idempotent() || end.provesNotRun();
        if (end == RunEnd.ANSWERED) {
            actions.deliver(attempt);
        } else if (again && attempt.number() < MOST_ATTEMPTS) {
            waiting.addFirst(new Entry(attempt.request(), attempt.number() + 1));
        } else if (end.hasAnswer()) {
            actions.deliver(attempt);
        } else {
            actions.answer(attempt.request(), Reason.CONNECTION_LOST, Optional.empty());
        }
        startAll(now);
    }

    private void startAll(long now) {
        while (!waiting.isEmpty()) {
            Entry entry = waiting.peek();
            if (entry.request.deadlineNanos() - now <= 0) {
                waiting.remove();
                boolean first = entry.number == 1;
                Reason reason = first ? Reason.DEADLINE_PASSED : Reason.RETRY_GIVEN_UP;
                actions.answer(entry.request, reason, Optional.empty());
                continue;
            }
            Optional<WorkerId> worker = nextFree();
            if (worker.isEmpty()) {
                return;
            }
            waiting.remove();
            free.merge(worker.get(), -1, Integer::sum);
            actions.start(new Attempt(entry.request, entry.number, worker.get()));
        }
    }

    private Optional<WorkerId> nextFree() {
        for (int i = 0; i < workers.size(); i++) {
            turn = (turn + 1) % workers.size();
            if (free.get(workers.get(turn)) > 0) {
                return Optional.of(workers.get(turn));
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
