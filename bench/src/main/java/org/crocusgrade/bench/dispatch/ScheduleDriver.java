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

/** Drives a dispatcher through a schedule by discrete events and checks what it tells callers. */
public final class ScheduleDriver implements DispatchActions {
    private static final long FAILURE_NANOS = 1_000_000L;
    private static final long FAR = Long.MAX_VALUE / 2;
    private static final Needs SIZE = new Needs(32, 1L << 37, 0);

    private final Schedule schedule;
    private final Fleet fleet;
    private final Dispatcher dispatcher;
    private final Map<RequestId, Schedule.Arrival> arrivals = new HashMap<>();
    private final Map<RequestId, RunEnd> endings = new HashMap<>();
    private final Map<RequestId, Reason> answers = new HashMap<>();
    private final Map<RequestId, Integer> mayHaveRun = new HashMap<>();
    private final Map<WorkerId, Integer> busy = new HashMap<>();
    private final PriorityQueue<End> ends =
            new PriorityQueue<>(
                    Comparator.<End>comparingLong(end -> end.atNanos)
                            .thenComparingLong(end -> end.number));
    private final Histogram waits = new Histogram(3);
    private final Histogram urgentWaits = new Histogram(3);
    private long now;
    private long attempts;
    private long inTime;
    private final List<Run> runs = new ArrayList<>();
    private int breaches;

    /**
     * The workers.
     *
     * @param workers how many
     * @param slots slots of each
     * @param failing how many of them fail all they start, after 1 ms
     */
    public record Fleet(int workers, int slots, int failing) {}

    /**
     * What came out.
     *
     * @param offered requests
     * @param inTime requests whose worker's good answer came by their deadline
     * @param runs the slot time of these
     * @param answers the final answers by request
     * @param attempts attempts at workers
     * @param breaches broken truth rules: a second answer or none, an untrue not-run, more starts
     *     than slots, or a second run of what is not idempotent
     * @param waits the time from arrival to the first start
     * @param urgentWaits the same of urgent requests
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
        /** Returns the slot time between two times that went to answers in time. */
        public double inTimeWorkNanos(long from, long to) {
            double sum = 0;
            for (Run run : runs) {
                sum += Math.max(0, Math.min(to, run.endNanos()) - Math.max(from, run.startNanos()));
            }
            return sum;
        }

        /** Returns how many answers had this reason. */
        public long count(Reason reason) {
            return answers.values().stream().filter(reason::equals).count();
        }
    }

    /**
     * A run whose answer was in time.
     *
     * @param startNanos its start
     * @param endNanos its end
     */
    public record Run(long startNanos, long endNanos) {}

    private ScheduleDriver(Schedule schedule, Fleet fleet, Dispatcher.Factory factory) {
        this.schedule = schedule;
        this.fleet = fleet;
        dispatcher = factory.create(this);
    }

    /** Runs a schedule to its end. */
    public static Result run(Schedule schedule, Fleet fleet, Dispatcher.Factory factory) {
        return new ScheduleDriver(schedule, fleet, factory).run();
    }

    private Result run() {
        for (int i = 0; i < fleet.workers(); i++) {
            AvailabilityZone zone = new AvailabilityZone("az" + i % 3);
            dispatcher.granted(new WorkerGrant(worker(i), zone, SIZE, fleet.slots(), FAR), now);
        }
        for (Schedule.Arrival arrival : schedule.arrivals()) {
            advance(arrival.atNanos());
            arrivals.put(arrival.request().id(), arrival);
            dispatcher.offer(arrival.request(), now);
        }
        long last = now;
        while (answers.size() < arrivals.size() && now < last + Duration.ofHours(1).toNanos()) {
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
            long end = ends.isEmpty() ? Long.MAX_VALUE : ends.peek().atNanos;
            long wake = Math.max(now, dispatcher.nextWakeNanos());
            if (Math.min(end, wake) > to) {
                break;
            }
            if (end <= wake) {
                now = end;
                finish(ends.poll());
            } else {
                now = wake;
                dispatcher.tick(now);
            }
        }
        now = to;
    }

    private void finish(End end) {
        Attempt attempt = end.attempt;
        busy.merge(attempt.worker(), -1, Integer::sum);
        RunEnd how = fails(attempt.worker()) ? RunEnd.ANSWERED_FAILURE : RunEnd.ANSWERED;
        endings.put(attempt.id(), how);
        dispatcher.finished(attempt, how, now);
    }

    private boolean fails(WorkerId worker) {
        return Integer.parseInt(worker.value().substring(1)) < fleet.failing();
    }

    @Override
    public void start(Attempt attempt) {
        Request request = attempt.request();
        Schedule.Arrival arrival = arrivals.get(request.id());
        int before = mayHaveRun.merge(request.id(), 1, Integer::sum) - 1;
        breach(before > 0 && !request.idempotent());
        breach(answers.containsKey(request.id()));
        breach(busy.merge(attempt.worker(), 1, Integer::sum) > fleet.slots());
        if (before == 0) {
            long wait = Math.max(1, now - arrival.atNanos());
            waits.recordValue(wait);
            if (request.urgent()) {
                urgentWaits.recordValue(wait);
            }
        }
        attempts++;
        long took = fails(attempt.worker()) ? FAILURE_NANOS : arrival.runNanos();
        ends.add(new End(now + took, attempts, attempt));
    }

    @Override
    public void deliver(Attempt attempt) {
        Request request = attempt.request();
        answered(request, Reason.OK);
        boolean good = endings.get(attempt.id()) == RunEnd.ANSWERED;
        if (good && now <= request.deadlineNanos()) {
            inTime++;
            runs.add(new Run(now - arrivals.get(request.id()).runNanos(), now));
        }
    }

    @Override
    public void answer(Request request, Reason reason, Optional<Duration> retryAfter) {
        answered(request, reason);
        boolean ran = mayHaveRun.getOrDefault(request.id(), 0) > 0;
        breach(ran && reason.outcome == Outcome.NOT_RUN);
    }

    @Override
    public void cancelRun(Attempt attempt) {
        for (End end : ends) {
            if (end.attempt.equals(attempt)) {
                ends.remove(end);
                ends.add(new End(Math.min(end.atNanos, now + FAILURE_NANOS), end.number, attempt));
                return;
            }
        }
    }

    private void answered(Request request, Reason reason) {
        breach(answers.put(request.id(), reason) != null);
    }

    private void breach(boolean broken) {
        if (broken) {
            breaches++;
        }
    }

    private record End(long atNanos, long number, Attempt attempt) {}
}
