package org.crocusgrade.core.schedule;

import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import org.crocusgrade.core.port.AdviceService;
import org.crocusgrade.core.port.AdviceService.Advice;

/**
 * Decides what the advice service is asked.
 *
 * <p>Load: a queue whose policy allows only some workers is asked for several times what its pool
 * holds. The service takes a while for each worker it is asked about and answers a daemon's
 * questions one after the other, so questions are few and small: about as many workers as the step
 * will need at the share that has been allowed so far, those with the most room first. They are
 * asked as soon as a step may start, in the order in which submissions get workers, and about a
 * worker that is known to be allowed only when it has room. Example: 8 tasks, 4 to a worker, one
 * worker in two allowed: two workers are wanted, so the first question names four and two to spare.
 */
final class AdvicePlanner {
    /** The share of workers taken to be allowed before any answer. */
    private static final double FIRST_SHARE = 0.4;

    /** Weight of the newest answer in the share that is allowed. */
    private static final double NEWEST_WEIGHT = 0.2;

    /** Below this share larger questions would only make the answers late. */
    private static final double LEAST_SHARE = 0.1;

    /** Workers in a question beyond the expected need, for the luck of the draw. */
    private static final int SPARE_WORKERS = 2;

    /** Most workers in a question: answers to larger ones come too late for the objective. */
    private static final int MOST_WORKERS = Math.min(30, AdviceService.MAX_WORKERS);

    /** The pause after a question without an answer, in nanoseconds. */
    private static final long RETRY_NANOS = 200_000_000L;

    private final PoolState pool;
    private final SubmissionOrder order;
    private double allowedShare = FIRST_SHARE;

    AdvicePlanner(PoolState pool, Outlook outlook) {
        this.pool = pool;
        order = new SubmissionOrder(pool, outlook);
    }

    /** Returns the questions to send now, the most urgent first. */
    List<AdviceRequest> plan(int most, long now, Instant wall) {
        List<AdviceRequest> questions = new ArrayList<>();
        if (most <= 0) {
            return questions;
        }
        List<TrackedSubmission> advised = new ArrayList<>();
        for (TrackedSubmission submission : pool.active()) {
            if (pool.route(submission).advice().isPresent()) {
                advised.add(submission);
            }
        }
        for (TrackedSubmission submission : order.sort(advised, now)) {
            for (TrackedStep step : StartPlanner.readySteps(submission, wall)) {
                Optional<AdviceRequest> question = question(step, now);
                question.ifPresent(questions::add);
                if (questions.size() >= most) {
                    return questions;
                }
            }
        }
        return questions;
    }

    private Optional<AdviceRequest> question(TrackedStep step, long now) {
        StepAdvice advice = step.advice();
        if (!advice.mayAsk(now)) {
            return Optional.empty();
        }
        int waiting = 0;
        for (Task task : step.tasks()) {
            waiting += task.isDone() || !task.placements().isEmpty() ? 0 : 1;
        }
        long places = 0;
        long largest = 1;
        List<WorkerNode> candidates = new ArrayList<>();
        for (WorkerNode worker : pool.workers().values()) {
            if (!worker.isCountedOn(now) || !Placer.couldTake(worker, step.spec())) {
                continue;
            }
            long room = Math.max(0, Placer.places(worker, step));
            largest = Math.max(largest, room);
            if (advice.ticket(worker, now).isPresent()) {
                places += room;
            } else if (!advice.isDenied(worker) && (room > 0 || !advice.isAllowed(worker))) {
                candidates.add(worker);
            }
        }
        if (places >= waiting || candidates.isEmpty()) {
            return Optional.empty();
        }
        candidates.sort(
                Comparator.comparing((WorkerNode w) -> !advice.isAllowed(w))
                        .thenComparing(w -> -Placer.places(w, step))
                        .thenComparing(WorkerNode::id));
        double wanted = Math.ceil((double) (waiting - places) / largest);
        int size = (int) Math.ceil(wanted / Math.max(LEAST_SHARE, allowedShare)) + SPARE_WORKERS;
        advice.setOpen();
        int end = Math.min(candidates.size(), Math.min(size, MOST_WORKERS));
        return Optional.of(new AdviceRequest(step, candidates.subList(0, end)));
    }

    void onAnswer(AdviceRequest question, Optional<Advice> answer, long now) {
        StepAdvice advice = question.step().advice();
        if (answer.isEmpty()) {
            advice.noAnswer(now + RETRY_NANOS);
            return;
        }
        double share = (double) answer.get().tickets().size() / question.workers().size();
        allowedShare += NEWEST_WEIGHT * (share - allowedShare);
        advice.take(question, answer.get(), now);
    }
}
