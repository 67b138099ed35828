package org.crocusgrade.core.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.crocusgrade.core.id.RequestId;
import org.crocusgrade.core.id.WorkerId;

/** Plays the daemon and its workers for a queue, and holds every action against the truth rules. */
final class CheckedWorkers implements DispatchActions {
    final Map<RequestId, Attempt> running = new LinkedHashMap<>();
    final Map<RequestId, Reason> answers = new LinkedHashMap<>();
    final List<String> log = new ArrayList<>();
    final List<String> receipts = new ArrayList<>();
    final Map<RequestId, Attempt> ended = new HashMap<>();
    boolean mayCancel = true;
    long now;

    private final Map<WorkerId, WorkerGrant> grants = new HashMap<>();
    private final Set<RequestId> offered = new HashSet<>();
    private final Map<RequestId, Integer> mayHaveRun = new HashMap<>();
    private ServiceQueue queue;

    void use(ServiceQueue queue) {
        this.queue = queue;
    }

    void offer(Request request) {
        offered.add(request.id());
        queue.offer(request, now);
    }

    void grant(WorkerGrant grant) {
        grants.put(grant.worker(), grant);
        queue.granted(grant, now);
    }

    void cancel(RequestId id) {
        queue.cancel(id, now);
    }

    /** Moves the time on, with every tick that is due before. */
    void advance(long to) {
        while (queue.nextWakeNanos() <= to) {
            now = Math.max(now, queue.nextWakeNanos());
            queue.tick(now);
            if (queue.nextWakeNanos() <= now) {
                break;
            }
        }
        now = to;
    }

    void end(RequestId attemptId, RunEnd end) {
        Attempt attempt = running.remove(attemptId);
        require(attempt != null, "no such attempt runs: " + attemptId);
        RequestId id = attempt.request().id();
        if (end.provesNotRun()) {
            mayHaveRun.merge(id, -1, Integer::sum);
        }
        ended.put(attemptId, attempt);
        receipts.add(attempt.worker() + " " + attempt.id() + " " + end);
        queue.finished(attempt, end, now);
    }

    @Override
    public void start(Attempt attempt) {
        Request request = attempt.request();
        require(offered.contains(request.id()), "started but never offered");
        require(!answers.containsKey(request.id()), "started after its answer: " + attempt);
        require(request.deadlineNanos() > now, "started after its deadline");
        int before = mayHaveRun.merge(request.id(), 1, Integer::sum) - 1;
        require(request.idempotent() || before == 0, "may run twice: " + attempt);
        WorkerGrant grant = grants.get(attempt.worker());
        require(grant != null && grant.untilNanos() > now, "started without a lease: " + attempt);
        long busy =
                running.values().stream().filter(a -> a.worker().equals(attempt.worker())).count();
        require(busy < grant.slots(), "more starts than slots: " + attempt);
        require(running.put(attempt.id(), attempt) == null, "attempt id used twice");
        note("start " + attempt.id() + " on " + attempt.worker());
    }

    @Override
    public void deliver(Attempt attempt) {
        requireFirst(attempt.request(), Reason.OK);
        require(!running.containsKey(attempt.id()), "delivered before its end");
        note("deliver " + attempt.id());
    }

    @Override
    public void answer(Request request, Reason reason, Optional<Duration> retryAfter) {
        requireFirst(request, reason);
        if (reason.outcome == Outcome.NOT_RUN) {
            require(mayHaveRun.getOrDefault(request.id(), 0) == 0, "not-run, but it may have run");
        }
        String after = retryAfter.map(d -> " retry-after " + d.toMillis() + "ms").orElse("");
        note("answer " + request.id() + " " + reason.code + after);
    }

    @Override
    public void cancelRun(Attempt attempt) {
        require(running.containsKey(attempt.id()), "cancelled but not running");
        require(mayCancel, "cancelled against the service's settings");
        note("cancel-run " + attempt.id() + " on " + attempt.worker());
    }

    @Override
    public void retried(Attempt failed, RunEnd end) {
        note("retry " + failed.id() + " after " + end);
    }

    /** Checks that every request offered has its answer. */
    void requireAllAnswered() {
        require(answers.keySet().equals(offered), "answered " + answers.size() + " of " + offered);
    }

    private void requireFirst(Request request, Reason reason) {
        require(offered.contains(request.id()), "answered but never offered");
        require(answers.put(request.id(), reason) == null, "answered twice: " + request.id());
    }

    private void note(String action) {
        log.add(now / 1_000_000 + " " + action);
    }

    private static void require(boolean holds, String fault) {
        if (!holds) {
            throw new AssertionError(fault);
        }
    }
}
