package org.crocusgrade.core.schedule;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import org.crocusgrade.core.config.QueueRoute;
import org.crocusgrade.core.config.QueueRoute.AdvicePolicy;
import org.crocusgrade.core.customer.CustomerDirectory;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.QueueId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.AdviceService.Advice;
import org.crocusgrade.core.submission.Recurrence;
import org.crocusgrade.core.submission.Resources;
import org.crocusgrade.core.submission.StepSpec;
import org.crocusgrade.core.submission.SubmissionId;
import org.crocusgrade.core.submission.SubmissionSpec;
import org.crocusgrade.core.submission.TaskEnd;
import org.crocusgrade.core.submission.TaskEnd.Result;
import org.crocusgrade.core.submission.TaskRun;

/** A scheduler of one pool with a simulated clock. */
final class Pool {
    static final ServiceId SERVICE = new ServiceId("quotes");
    static final QueueId QUEUE = new QueueId("quote");
    static final Resources HOST = new Resources(32_000, 131_072, 0);
    static final Duration TICKET_VALIDITY = Duration.ofSeconds(3);
    static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    final PoolScheduler scheduler;
    private long now = 1_000_000_000L;
    private int submissions;
    private int ticketNumber;

    Pool(long term) {
        this(term, Optional.empty());
    }

    Pool(long term, Optional<AdvicePolicy> advice) {
        this(term, advice, () -> CustomerDirectory.NONE);
    }

    private Pool(long term, Optional<AdvicePolicy> advice, Supplier<CustomerDirectory> customers) {
        QueueRoute route = route(advice);
        scheduler = new PoolScheduler(term, s -> route, customers);
    }

    static QueueRoute route(Optional<AdvicePolicy> advice) {
        return new QueueRoute(
                QUEUE,
                "host",
                "/q/",
                SERVICE,
                0,
                3,
                1.6,
                Duration.ofMillis(600),
                Duration.ofSeconds(3),
                advice,
                false);
    }

    static Pool settled(Supplier<CustomerDirectory> customers) {
        Pool pool = new Pool(1, Optional.empty(), customers);
        pool.scheduler.setSettled();
        return pool;
    }

    static Pool settled() {
        Pool pool = new Pool(1);
        pool.scheduler.setSettled();
        return pool;
    }

    /** A settled pool whose queue allows only workers approved by the advice service. */
    static Pool advised() {
        AdvicePolicy policy =
                new AdvicePolicy(Duration.ofMillis(40), Duration.ofMillis(4), TICKET_VALIDITY);
        Pool pool = new Pool(1, Optional.of(policy));
        pool.scheduler.setSettled();
        return pool;
    }

    List<AdviceRequest> adviceRequests(int limit) {
        return scheduler.adviceRequests(limit, now, wall());
    }

    /** Answers a request on behalf of the advice service: only the given workers are allowed. */
    void advise(AdviceRequest request, String... allowed) {
        now += 100_000_000;
        Map<WorkerId, String> tickets = new HashMap<>();
        for (String worker : allowed) {
            tickets.put(new WorkerId(worker), "ticket-" + ++ticketNumber);
        }
        Advice advice = new Advice(tickets, TICKET_VALIDITY);
        scheduler.onAdvice(request, Optional.of(advice), now);
    }

    void advance(Duration time) {
        now += time.toNanos();
    }

    long now() {
        return now;
    }

    Instant wall() {
        return START.plusNanos(now);
    }

    WorkerNode worker(String name, String rack) {
        return worker(name, rack, HOST);
    }

    WorkerNode worker(String name, String rack, Resources capacity) {
        WorkerNode node =
                new WorkerNode(
                        new WorkerId(name),
                        Optional.of(new HostId("m-" + name)),
                        1,
                        "zone",
                        Optional.of(rack),
                        Set.of("a", rack),
                        capacity);
        node.setUsable(true);
        scheduler.addWorker(node);
        return node;
    }

    TrackedSubmission submit(boolean inherited, StepSpec... steps) {
        return submit(inherited, Optional.empty(), steps);
    }

    TrackedSubmission submit(
            boolean inherited, Optional<Recurrence> recurrence, StepSpec... steps) {
        return submit(Optional.empty(), inherited, recurrence, steps);
    }

    TrackedSubmission submit(CustomerId customer, StepSpec... steps) {
        return submit(Optional.of(customer), false, Optional.empty(), steps);
    }

    private TrackedSubmission submit(
            Optional<CustomerId> customer,
            boolean inherited,
            Optional<Recurrence> recurrence,
            StepSpec... steps) {
        SubmissionId id = new SubmissionId(String.format("%016x", ++submissions));
        TrackedSubmission submission =
                new TrackedSubmission(
                        id,
                        QUEUE,
                        customer,
                        new SubmissionSpec("payload", List.of(steps), recurrence),
                        3,
                        wall(),
                        now,
                        inherited);
        scheduler.add(submission);
        return submission;
    }

    List<Order> plan() {
        now += 1_000_000;
        return scheduler.plan(now, wall());
    }

    List<Placement> starts() {
        List<Placement> starts = new ArrayList<>();
        for (Order order : plan()) {
            if (order instanceof Order.Start start) {
                starts.add(start.placement());
            }
        }
        return starts;
    }

    List<Order.Stop> stops() {
        List<Order.Stop> stops = new ArrayList<>();
        for (Order order : plan()) {
            if (order instanceof Order.Stop stop) {
                stops.add(stop);
            }
        }
        return stops;
    }

    /** Starts all tasks that can start; every worker accepts every order. */
    List<Placement> startAll() {
        List<Placement> starts = starts();
        starts.forEach(p -> answer(p, StartAnswer.STARTED));
        return starts;
    }

    void answer(Placement placement, StartAnswer answer) {
        now += 1_000_000;
        scheduler.onStartAnswer(placement, answer, now);
    }

    /**
     * The worker reports the given ends, and all its other placements as running at their full
     * share.
     */
    void report(WorkerNode worker, TaskEnd... ends) {
        List<TaskRun> running = new ArrayList<>();
        for (Placement placement : worker.placements()) {
            boolean ended = false;
            for (TaskEnd end : ends) {
                ended |= end.task().equals(placement.task().id()) && end.run() == placement.run();
            }
            if (!ended) {
                running.add(run(placement));
            }
        }
        list(worker, running, ends);
    }

    void list(WorkerNode worker, List<TaskRun> running, TaskEnd... ends) {
        now += 1_000_000;
        long requestedNanos = now;
        now += 1_000_000;
        scheduler.onReport(worker, requestedNanos, running, List.of(ends), true, now, wall());
    }

    static TaskRun run(Placement placement) {
        return new TaskRun(placement.task().id(), placement.run(), "", 100, 0);
    }

    static TaskEnd end(long number, Placement placement, Result result) {
        return new TaskEnd(number, placement.task().id(), placement.run(), result, "");
    }

    static StepSpec step(int tasks, int milliCores, Integer... after) {
        return new StepBuilder(tasks, milliCores).after(after).build();
    }
}
