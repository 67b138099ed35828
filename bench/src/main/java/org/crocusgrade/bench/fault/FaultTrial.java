package org.crocusgrade.bench.fault;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.crocusgrade.bench.guarantee.CheckResult;
import org.crocusgrade.bench.guarantee.Guarantee;
import org.crocusgrade.bench.guarantee.Observations;
import org.crocusgrade.bench.process.ProcessException;
import org.crocusgrade.bench.process.ProcessFleet;
import org.crocusgrade.bench.trial.EmbeddedPlatform;
import org.crocusgrade.bench.trial.FleetHistory;
import org.crocusgrade.bench.trial.TrialException;
import org.crocusgrade.bench.trial.TrialPlan;
import org.crocusgrade.bench.trial.TrialReport;
import org.crocusgrade.core.config.ServiceConfig;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.standin.load.CallRecord;
import org.crocusgrade.standin.load.CallerLoad;
import org.crocusgrade.standin.load.PeakSchedule;
import org.crocusgrade.standin.load.QueueLoad;
import org.crocusgrade.standin.worker.Receipt;

/**
 * Runs daemons as processes while the queues' demand peaks in turns and a seeded schedule injects
 * two faults at a time, and checks the guarantees against what the stand-ins recorded.
 */
public final class FaultTrial {
    private static final Duration SHORTEST_TURN = Duration.ofSeconds(3);
    private static final Duration LONGEST_TURN = Duration.ofSeconds(6);
    private static final Duration POLL = Duration.ofMillis(20);
    private static final Duration LEAVING_BOUND = EmbeddedPlatform.LAG.plusSeconds(3);
    private static final Duration ROLLOUT_BOUND = Duration.ofSeconds(11);

    private final TrialPlan plan;
    private final Consumer<String> progress;

    /** Creates a trial; progress receives a line when a fault begins and when it ends. */
    public FaultTrial(TrialPlan plan, Consumer<String> progress) {
        this.plan = plan;
        this.progress = progress;
    }

    /** Runs the trial. */
    public TrialReport run() throws TrialException {
        try (ProcessFleet fleet =
                new ProcessFleet(
                        plan.deployment().region(), plan.deployment().fleet(), plan.seed())) {
            fleet.publish(plan.deployment().samples());
            fleet.startDaemons(plan.daemons());
            progress.accept(plan.daemons() + " daemon processes ready");
            return runLoad(fleet);
        } catch (ProcessException e) {
            throw new TrialException("the trial's processes failed: " + e.getMessage(), e);
        }
    }

    private TrialReport runLoad(ProcessFleet fleet) throws ProcessException {
        List<Fault> faults =
                FaultSchedule.draw(
                        plan.length(),
                        plan.daemons(),
                        plan.deployment().fleet().workers(),
                        plan.seed());
        List<QueueLoad> loads = plan.deployment().loads();
        PeakSchedule schedule =
                new PeakSchedule(
                        loads.size(), plan.length(), SHORTEST_TURN, LONGEST_TURN, plan.seed());
        CallerLoad load =
                new CallerLoad(
                        fleet.vertx(),
                        fleet.clock(),
                        fleet.balancer()::ready,
                        loads,
                        schedule,
                        plan.length(),
                        plan.seed());
        Instant begin = fleet.clock().now();
        CompletableFuture<List<CallRecord>> calls = load.run().subscribeAsCompletionStage();
        inject(fleet, faults, begin);
        fleet.await("calls to end", calls::isDone);
        fleet.await("workers to be idle", () -> runningRequests(fleet) == 0);
        return report(fleet, calls.join(), begin);
    }

    private void inject(ProcessFleet fleet, List<Fault> faults, Instant begin)
            throws ProcessException {
        FaultInjector injector = new FaultInjector(fleet);
        List<Fault> waiting = new ArrayList<>(faults);
        List<Fault> active = new ArrayList<>();
        while (true) {
            Duration elapsed = Duration.between(begin, fleet.clock().now());
            for (Fault fault : List.copyOf(waiting)) {
                if (fault.start().compareTo(elapsed) <= 0) {
                    waiting.remove(fault);
                    active.add(fault);
                    progress.accept(progressLine(elapsed, fault, "begins"));
                    injector.begin(fault);
                }
            }
            for (Fault fault : List.copyOf(active)) {
                if (fault.end().compareTo(elapsed) <= 0) {
                    active.remove(fault);
                    progress.accept(progressLine(elapsed, fault, "ends"));
                    injector.end(fault);
                }
            }
            boolean over = elapsed.compareTo(plan.length()) >= 0;
            if (over && waiting.isEmpty() && active.isEmpty()) {
                return;
            }
            fleet.pause(POLL);
        }
    }

    private static String progressLine(Duration elapsed, Fault fault, String event) {
        return String.format(
                "%6.1f s  %s of %d %s",
                elapsed.toMillis() / 1000.0, fault.kind(), fault.target() + 1, event);
    }

    private static long runningRequests(ProcessFleet fleet) {
        return fleet.platform().fleet().receipts().stream()
                .filter(receipt -> receipt.ending() == Receipt.Ending.RUNNING)
                .filter(receipt -> !stalled(fleet, receipt))
                .count();
    }

    /**
     * Returns whether a running request is so old that a worker must have stalled on it. Such a
     * request never ends by itself, so waiting for it would time out.
     */
    private static boolean stalled(ProcessFleet fleet, Receipt receipt) {
        Duration age = Duration.between(receipt.start(), fleet.clock().now());
        return age.compareTo(LONGEST_TURN.multipliedBy(4)) > 0;
    }

    private TrialReport report(ProcessFleet fleet, List<CallRecord> calls, Instant begin) {
        FleetHistory history = fleet.history();
        List<Receipt> receipts = fleet.platform().fleet().receipts();
        Map<PoolId, Integer> budgets = new HashMap<>();
        for (ServiceConfig service : fleet.published().fleet().services().values()) {
            budgets.put(service.pool(), service.budget().maxUnavailable());
        }
        Observations observations =
                new Observations(
                        calls,
                        receipts,
                        fleet.platform().hosts().events(),
                        history.writes(),
                        budgets,
                        List.of(),
                        List.of(),
                        LEAVING_BOUND,
                        ROLLOUT_BOUND);
        List<CheckResult> results = new ArrayList<>();
        Guarantee.all().forEach(guarantee -> results.add(guarantee.check(observations)));
        PoolId spare = fleet.published().fleet().service(plan.deployment().spare()).get().pool();
        double idle = history.idleWorkers(receipts, spare, begin, begin.plus(plan.length()));
        return new TrialReport(calls, history.moves(begin), idle, Optional.empty(), results);
    }
}
