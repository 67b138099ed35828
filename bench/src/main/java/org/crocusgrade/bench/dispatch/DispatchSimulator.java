package org.crocusgrade.bench.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import org.HdrHistogram.Histogram;
import org.crocusgrade.core.config.ServiceConfig.Needs;
import org.crocusgrade.core.dispatch.Attempt;
import org.crocusgrade.core.dispatch.DispatchActions;
import org.crocusgrade.core.dispatch.Outcome;
import org.crocusgrade.core.dispatch.Reason;
import org.crocusgrade.core.dispatch.Request;
import org.crocusgrade.core.dispatch.RunEnd;
import org.crocusgrade.core.dispatch.WorkerGrant;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.RequestId;
import org.crocusgrade.core.id.WorkerId;

/**
 * Runs a schedule against a dispatcher as a discrete-event simulation and checks the dispatcher's
 * starts and answers for correctness.
 */
public final class DispatchSimulator implements DispatchActions {
    /** Run time on a failing worker, and the longest that a run goes on after its cancellation. */
    private static final long ABORTED_RUN_NANOS = 1_000_000L;

    private static final long GRANT_UNTIL_NANOS = Long.MAX_VALUE / 2;
    private static final Needs WORKER_CAPACITY = new Needs(32, 1L << 37, 0);

    private final Schedule schedule;
    private final Fleet fleet;
    private final Dispatcher dispatcher;
    private final Map<RequestId, Schedule.Arrival> arrivals = new HashMap<>();
    private final Map<RequestId, RunEnd> runEnds = new HashMap<>();
    private final Map<RequestId, Reason> answers = new HashMap<>();
    private final Map<RequestId, Integer> startsByRequest = new HashMap<>();
    private final Map<WorkerId, Integer> busySlots = new HashMap<>();
    private final PriorityQueue<Completion> completions =
            new PriorityQueue<>(
                    Comparator.<Completion>comparingLong(end -> end.atNanos)
                            .thenComparingLong(end -> end.number));
    private final Histogram waits = new Histogram(3);
    private final Histogram urgentWaits = new Histogram(3);
    private long now;
    private long attempts;
    private long inTime;
    private final List<Run> runs = new ArrayList<>();
    private int breaches;

    /**
     * The simulated workers.
     *
     * @param workers number of workers
     * @param slots slots of each worker
     * @param failing number of workers that fail every request, 1 ms after its start
     */
    public record Fleet(int workers, int slots, int failing) {}

    /**
     * The result of a simulation.
     *
     * @param offered number of requests
     * @param inTime number of requests with a successful answer by their deadline
     * @param runs the runs of these requests
     * @param answers the final answers by request
     * @param attempts number of attempts started
     * @param breaches number of violated rules: a second answer or none, an outcome "not run" for a
     *     request that was started, a start after the answer, more attempts at once than a worker
     *     has slots, or a second run of a request that is not idempotent
     * @param waits times from arrival to the first start, in nanoseconds
     * @param urgentWaits the same, of urgent requests only
     */
    public record Result(
            int offered,
            long inTime,
            List<Run> runs,
            Map<RequestId, Reason> answers,
            long attempts,
            int breaches,
            Histogram waits,
            Histogram urgentWaits) {
        /** Returns the slot time within an interval that was spent on answers in time. */
        public double inTimeWorkNanos(long from, long to) {
            double sum = 0;
            for (Run run : runs) {
                sum += Math.max(0, Math.min(to, run.endNanos()) - Math.max(from, run.startNanos()));
            }
            return sum;
        }

        /** Returns the number of final answers with a reason. */
        public long count(Reason reason) {
            return answers.values().stream().filter(reason::equals).count();
        }
    }

    /**
     * A run whose answer was successful and in time.
     *
     * @param startNanos its start
     * @param endNanos its end
     */
    public record Run(long startNanos, long endNanos) {}

    private DispatchSimulator(Schedule schedule, Fleet fleet, Dispatcher.Factory factory) {
        this.schedule = schedule;
        this.fleet = fleet;
        dispatcher = factory.create(this);
    }

    /**
     * Runs a schedule until every request is answered, or for an hour of simulated time after the
     * last arrival.
     */
    public static Result run(Schedule schedule, Fleet fleet, Dispatcher.Factory factory) {
        return new DispatchSimulator(schedule, fleet, factory).run();
    }

    private Result run() {
        for (int i = 0; i < fleet.workers(); i++) {
            AvailabilityZone zone = new AvailabilityZone("az" + i % 3);
            dispatcher.granted(
                    new WorkerGrant(
                            worker(i), zone, WORKER_CAPACITY, fleet.slots(), GRANT_UNTIL_NANOS),
                    now);
        }
        for (Schedule.Arrival arrival : schedule.arrivals()) {
            advance(arrival.atNanos());
            arrivals.put(arrival.request().id(), arrival);
            dispatcher.offer(arrival.request(), now);
        }
        long lastArrivalNanos = now;
        while (answers.size() < arrivals.size()
                && now < lastArrivalNanos + Duration.ofHours(1).toNanos()) {
            advance(now + Duration.ofSeconds(1).toNanos());
        }
        breaches += arrivals.size() - answers.size();
        return new Result(
                arrivals.size(), inTime, runs, answers, attempts, breaches, waits, urgentWaits);
    }

    private static WorkerId worker(int number) {
        return new WorkerId("w" + number);
    }

    private void advance(long to) {
        while (true) {
            long end = completions.isEmpty() ? Long.MAX_VALUE : completions.peek().atNanos;
            long wake = Math.max(now, dispatcher.nextWakeNanos());
            if (Math.min(end, wake) > to) {
                break;
            }
            if (end <= wake) {
                now = end;
                finish(completions.poll());
            } else {
                now = wake;
                dispatcher.tick(now);
            }
        }
        now = to;
    }

    private void finish(Completion end) {
        Attempt attempt = end.attempt;
        busySlots.merge(attempt.worker(), -1, Integer::sum);
        RunEnd runEnd = isFailing(attempt.worker()) ? RunEnd.ANSWERED_FAILURE : RunEnd.ANSWERED;
        runEnds.put(attempt.id(), runEnd);
        dispatcher.finished(attempt, runEnd, now);
    }

    private boolean isFailing(WorkerId worker) {
        return Integer.parseInt(worker.value().substring(1)) < fleet.failing();
    }

    @Override
    public void start(Attempt attempt) {
        Request request = attempt.request();
        Schedule.Arrival arrival = arrivals.get(request.id());
        int before = startsByRequest.merge(request.id(), 1, Integer::sum) - 1;
        countBreach(before > 0 && !request.idempotent());
        countBreach(answers.containsKey(request.id()));
        countBreach(busySlots.merge(attempt.worker(), 1, Integer::sum) > fleet.slots());
        if (before == 0) {
            long wait = Math.max(1, now - arrival.atNanos());
            waits.recordValue(wait);
            if (request.urgent()) {
                urgentWaits.recordValue(wait);
            }
        }
        attempts++;
        long durationNanos = isFailing(attempt.worker()) ? ABORTED_RUN_NANOS : arrival.runNanos();
        completions.add(new Completion(now + durationNanos, attempts, attempt));
    }

    @Override
    public void deliver(Attempt attempt) {
        Request request = attempt.request();
        recordAnswer(request, Reason.OK);
        boolean good = runEnds.get(attempt.id()) == RunEnd.ANSWERED;
        if (good && now <= request.deadlineNanos()) {
            inTime++;
            runs.add(new Run(now - arrivals.get(request.id()).runNanos(), now));
        }
    }

    @Override
    public void answer(Request request, Reason reason, Optional<Duration> retryAfter) {
        recordAnswer(request, reason);
        boolean ran = startsByRequest.getOrDefault(request.id(), 0) > 0;
        countBreach(ran && reason.outcome == Outcome.NOT_RUN);
    }

    @Override
    public void cancelRun(Attempt attempt) {
        for (Completion end : completions) {
            if (end.attempt.equals(attempt)) {
                completions.remove(end);
                completions.add(
                        new Completion(
                                Math.min(end.atNanos, now + ABORTED_RUN_NANOS),
                                end.number,
                                attempt));
                return;
            }
        }
    }

    private void recordAnswer(Request request, Reason reason) {
        countBreach(answers.put(request.id(), reason) != null);
    }

    private void countBreach(boolean violated) {
        if (violated) {
            breaches++;
        }
    }

    private record Completion(long atNanos, long number, Attempt attempt) {}
}
