package org.crocusgrade.core.schedule;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.crocusgrade.core.port.AdviceService;
import org.crocusgrade.core.port.AdviceService.Advice;

/**
 * Decides which requests are sent to the advice service.
 *
 * <p>Load: a queue whose policy allows only some workers receives several times the load that its
 * pool can serve. The service needs time for each worker in a request and handles the requests of a
 * daemon one after the other, so requests are few and small: each names about as many workers as
 * the step will need, given the share of workers that has been allowed so far. Workers that an
 * earlier answer allowed come first, then those with the most room. A request is sent as soon as a
 * step may start, in the order in which submissions get workers; a worker that was allowed before
 * is named again only if it has room. Example: for 8 tasks, 4 to a worker, with half of the workers
 * allowed, two workers are needed, so the request names four and two spare ones.
 */
final class AdvicePlanner {
    /** Share of workers assumed to be allowed before the first answer. */
    private static final double INITIAL_ALLOWED_SHARE = 0.4;

    /** Weight of the newest answer in the moving average of the allowed share. */
    private static final double NEWEST_WEIGHT = 0.2;

    /**
     * Lower bound of the allowed share in the sizing of requests: larger requests would only delay
     * the answers.
     */
    private static final double MIN_ALLOWED_SHARE = 0.1;

    /** Workers in a request beyond the expected need, because the allowed share varies. */
    private static final int SPARE_WORKERS = 2;

    /**
     * Upper bound of the workers in a request: answers to larger ones come too late for the
     * objective.
     */
    private static final int MAX_REQUEST_WORKERS = Math.min(30, AdviceService.MAX_WORKERS);

    /** The delay after a request that got no answer, in nanoseconds. */
    private static final long RETRY_NANOS = 200_000_000L;

    private final PoolState pool;
    private final StartOrder order;
    private double allowedShare = INITIAL_ALLOWED_SHARE;

    AdvicePlanner(PoolState pool, StartOrder order) {
        this.pool = pool;
        this.order = order;
    }

    /** Returns at most {@code limit} requests to send now, the most urgent first. */
    List<AdviceRequest> plan(int limit, long now, Instant wall) {
        List<AdviceRequest> requests = new ArrayList<>();
        if (limit <= 0) {
            return requests;
        }
        List<TrackedSubmission> ticketed = new ArrayList<>();
        for (TrackedSubmission submission : pool.active()) {
            if (pool.route(submission).advice().isPresent()) {
                ticketed.add(submission);
            }
        }
        for (TrackedSubmission submission : order.sort(ticketed, now)) {
            for (TrackedStep step : StartPlanner.readySteps(submission, wall)) {
                Optional<AdviceRequest> request = planRequest(step, now);
                request.ifPresent(requests::add);
                if (requests.size() >= limit) {
                    return requests;
                }
            }
        }
        return requests;
    }

    private Optional<AdviceRequest> planRequest(TrackedStep step, long now) {
        StepAdvice advice = step.advice();
        if (!advice.mayRequest(now)) {
            return Optional.empty();
        }
        int waiting = 0;
        for (Task task : step.tasks()) {
            waiting += task.isDone() || !task.placements().isEmpty() ? 0 : 1;
        }
        long placesWithTicket = 0;
        long largest = 1;
        List<WorkerNode> candidates = new ArrayList<>();
        for (WorkerNode worker : pool.workers().values()) {
            if (!worker.countsTowardCapacity(now) || !Placer.couldTake(worker, step.spec())) {
                continue;
            }
            long room = Math.max(0, Placer.places(worker, step));
            largest = Math.max(largest, room);
            if (advice.ticket(worker, now).isPresent()) {
                placesWithTicket += room;
            } else if (!advice.isDenied(worker) && (room > 0 || !advice.isAllowed(worker))) {
                candidates.add(worker);
            }
        }
        if (placesWithTicket >= waiting || candidates.isEmpty()) {
            return Optional.empty();
        }
        candidates.sort(
                Comparator.comparing((WorkerNode w) -> !advice.isAllowed(w))
                        .thenComparing(w -> -Placer.places(w, step))
                        .thenComparing(WorkerNode::id));
        double wanted = Math.ceil((double) (waiting - placesWithTicket) / largest);
        int size =
                (int) Math.ceil(wanted / Math.max(MIN_ALLOWED_SHARE, allowedShare)) + SPARE_WORKERS;
        advice.setPending();
        int end = Math.min(candidates.size(), Math.min(size, MAX_REQUEST_WORKERS));
        return Optional.of(new AdviceRequest(step, candidates.subList(0, end)));
    }

    void onAnswer(AdviceRequest request, Optional<Advice> answer, long now) {
        StepAdvice advice = request.step().advice();
        if (answer.isEmpty()) {
            advice.onNoAnswer(now + RETRY_NANOS);
            return;
        }
        double share = (double) answer.get().tickets().size() / request.workers().size();
        allowedShare += NEWEST_WEIGHT * (share - allowedShare);
        advice.apply(request, answer.get(), now);
    }
}
