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

/**
 * A simulated daemon with workers that checks every action of a {@link ServiceQueue}: one answer
 * for each request; no start after the answer or deadline, without a granted slot, or again while a
 * request that is not idempotent may have run; and no answer {@code not-run} after an attempt that
 * may have run.
 */
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

    void attach(ServiceQueue queue) {
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

    /** Advances the time, with every tick that is due on the way. */
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
        require(attempt != null, "attempt does not run: " + attemptId);
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
        require(offered.contains(request.id()), "started a request that was never offered");
        require(!answers.containsKey(request.id()), "started after the final answer: " + attempt);
        require(request.deadlineNanos() > now, "started after the deadline");
        int before = mayHaveRun.merge(request.id(), 1, Integer::sum) - 1;
        require(
                request.idempotent() || before == 0,
                "attempt of a request that is not idempotent and may have run: " + attempt);
        WorkerGrant grant = grants.get(attempt.worker());
        require(
                grant != null && grant.untilNanos() > now,
                "started without a valid grant: " + attempt);
        long busy =
                running.values().stream().filter(a -> a.worker().equals(attempt.worker())).count();
        require(busy < grant.slots(), "started with all granted slots in use: " + attempt);
        require(running.put(attempt.id(), attempt) == null, "attempt id used twice");
        logAction("start " + attempt.id() + " on " + attempt.worker());
    }

    @Override
    public void deliver(Attempt attempt) {
        requireFirstAnswer(attempt.request(), Reason.OK);
        require(!running.containsKey(attempt.id()), "delivered before the end of the attempt");
        logAction("deliver " + attempt.id());
    }

    @Override
    public void answer(Request request, Reason reason, Optional<Duration> retryAfter) {
        requireFirstAnswer(request, reason);
        if (reason.outcome == Outcome.NOT_RUN) {
            require(
                    mayHaveRun.getOrDefault(request.id(), 0) == 0,
                    "answered not-run, but an attempt may have run");
        }
        String after = retryAfter.map(d -> " retry-after " + d.toMillis() + "ms").orElse("");
        logAction("answer " + request.id() + " " + reason.code + after);
    }

    @Override
    public void cancelRun(Attempt attempt) {
        require(running.containsKey(attempt.id()), "cancelled an attempt that does not run");
        require(mayCancel, "cancelled a run although the settings do not allow it");
        logAction("cancel-run " + attempt.id() + " on " + attempt.worker());
    }

    @Override
    public void retried(Attempt failed, RunEnd end) {
        logAction("retry " + failed.id() + " after " + end);
    }

    /** Checks that every offered request was answered. */
    void requireAllAnswered() {
        require(answers.keySet().equals(offered), "answered " + answers.size() + " of " + offered);
    }

    private void requireFirstAnswer(Request request, Reason reason) {
        require(offered.contains(request.id()), "answered a request that was never offered");
        require(answers.put(request.id(), reason) == null, "answered twice: " + request.id());
    }

    private void logAction(String action) {
        log.add(now / 1_000_000 + " " + action);
    }

    private static void require(boolean holds, String message) {
        if (!holds) {
            throw new AssertionError(message);
        }
    }
}
