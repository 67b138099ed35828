package org.crocusgrade.bench.experiment;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import org.HdrHistogram.Histogram;
import org.crocusgrade.bench.process.ProcessException;
import org.crocusgrade.bench.process.ProcessFleet;
import org.crocusgrade.bench.trial.Deployment;
import org.crocusgrade.core.dispatch.Outcome;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.standin.load.CallRecord;
import org.crocusgrade.standin.load.CallerLoad;
import org.crocusgrade.standin.load.PeakSchedule;
import org.crocusgrade.standin.load.QueueLoad;
import org.crocusgrade.standin.platform.CallCounts;

/**
 * What claims of idempotency keys cost the platform's service, by the rate of requests with a key,
 * beside a writer that writes each key by itself.
 */
final class ClaimExperiment implements Experiment {
    private static final List<Integer> RATES = List.of(20, 60, 120, 240);
    private static final int DAEMONS = 3;
    private static final Duration WARM_UP = Duration.ofSeconds(4);
    private static final Duration WINDOW = Duration.ofSeconds(6);
    private static final Duration WORK = Duration.ofMillis(20);
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final long MAX_MICROS = 60_000_000;
    private static final byte[] MARK = {1};
    private static final double MILLIS = 1000;

    @Override
    public String name() {
        return "claims";
    }

    @Override
    public String summary() {
        return "writes for claims of keys by the rate of requests, beside a write for each key";
    }

    @Override
    public ExperimentTable run(long seed, Consumer<String> progress) throws ExperimentException {
        ExperimentTable table =
                new ExperimentTable(
                        name(),
                        List.of(
                                "keyed/s asked",
                                "keyed/s completed",
                                "writes/s",
                                "wait p50 ms",
                                "wait p99 ms",
                                "each by itself writes/s"));
        try (ProcessFleet fleet =
                new ProcessFleet(
                        Deployment.LAINEFLUX.region(), Deployment.LAINEFLUX.fleet(), seed)) {
            fleet.publish(PoolFiles.of(1, 35));
            fleet.startDaemons(DAEMONS);
            fleet.pause(WARM_UP);
            long before = writes(fleet);
            fleet.pause(WINDOW);
            double quiet = (writes(fleet) - before) / (double) WINDOW.toSeconds();
            for (int rate : RATES) {
                progress.accept(rate + " keyed requests a second");
                table.add(measure(fleet, rate, quiet, seed + rate));
            }
            return table;
        } catch (ProcessException e) {
            throw new ExperimentException(name() + " failed", e);
        }
    }

    private static List<Double> measure(ProcessFleet fleet, int rate, double quiet, long seed)
            throws ProcessException {
        ServiceId service = new ServiceId(PoolFiles.name(0));
        QueueLoad queue = new QueueLoad(service, rate / PeakSchedule.PEAK, WORK, TIMEOUT, 0);
        PeakSchedule schedule = new PeakSchedule(1, WINDOW, WINDOW, WINDOW, seed);
        CallerLoad load =
                new CallerLoad(
                        fleet.vertx(),
                        fleet.clock(),
                        fleet.balancer()::ready,
                        List.of(queue),
                        schedule,
                        WINDOW,
                        seed);
        long before = writes(fleet);
        long start = fleet.clock().nanoTime();
        CompletableFuture<List<CallRecord>> calls = load.run().subscribeAsCompletionStage();
        fleet.await("calls to end", calls::isDone);
        double seconds = (fleet.clock().nanoTime() - start) / 1e9;
        double grouped = (writes(fleet) - before) / seconds - quiet;
        Histogram waits = new Histogram(MAX_MICROS, 3);
        for (CallRecord call : calls.join()) {
            if (call.hasOutcome(Outcome.COMPLETED)) {
                waits.recordValue(Math.min(MAX_MICROS, call.waitTime().toNanos() / 1000));
            }
        }
        return List.of(
                (double) rate,
                waits.getTotalCount() / seconds,
                grouped,
                waits.getValueAtPercentile(50) / MILLIS,
                waits.getValueAtPercentile(99) / MILLIS,
                eachByItself(fleet, calls.join(), quiet));
    }

    /** Writes the key of each call by itself at the pace of the calls, and returns the rate. */
    private static double eachByItself(ProcessFleet fleet, List<CallRecord> calls, double quiet)
            throws ProcessException {
        long before = writes(fleet);
        long start = fleet.clock().nanoTime();
        Duration gap = WINDOW.dividedBy(Math.max(1, calls.size()));
        for (int i = 0; i < calls.size(); i++) {
            long due = start + gap.multipliedBy(i).toNanos();
            while (fleet.clock().nanoTime() - due < 0) {
                fleet.pause(Duration.ofMillis(1));
            }
            String key = "baseline/" + calls.get(i).nonce() + "/" + i;
            fleet.store()
                    .compareAndSet(key, KeyValueStore.ABSENT, MARK, Optional.empty())
                    .subscribe()
                    .with(revision -> {}, failure -> {});
        }
        fleet.pause(Duration.ofMillis(200));
        double seconds = (fleet.clock().nanoTime() - start) / 1e9;
        return (writes(fleet) - before) / seconds - quiet;
    }

    private static long writes(ProcessFleet fleet) {
        CallCounts counts = fleet.platform().service().counts();
        return counts.writes();
    }
}
