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
 * Measures the writes to the key-value service that claims of idempotency keys cause, by the rate
 * of keyed requests. The baseline writes each key separately.
 */
final class ClaimExperiment implements Experiment {
    private static final List<Integer> RATES = List.of(20, 60, 120, 240);
    private static final int DAEMONS = 3;
    private static final Duration WARM_UP = Duration.ofSeconds(4);
    private static final Duration WINDOW = Duration.ofSeconds(6);
    private static final Duration WORK = Duration.ofMillis(20);
    private static final Duration TIMEOUT = Duration.ofSeconds(10);
    private static final long MAX_MICROS = 60_000_000;
    private static final byte[] CLAIM_VALUE = {1};
    private static final double MICROS_PER_MILLI = 1000;

    @Override
    public String name() {
        return "claims";
    }

    @Override
    public String summary() {
        return "writes for claims of idempotency keys by request rate; baseline: one write per key";
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
            long before = writeCount(fleet);
            fleet.pause(WINDOW);
            double idleWritesPerSecond = (writeCount(fleet) - before) / (double) WINDOW.toSeconds();
            for (int rate : RATES) {
                progress.accept(rate + " keyed requests a second");
                table.add(measure(fleet, rate, idleWritesPerSecond, seed + rate));
            }
            return table;
        } catch (ProcessException e) {
            throw new ExperimentException(name() + " failed", e);
        }
    }

    private static List<Double> measure(
            ProcessFleet fleet, int rate, double idleWritesPerSecond, long seed)
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
        long before = writeCount(fleet);
        long start = fleet.clock().nanoTime();
        CompletableFuture<List<CallRecord>> calls = load.run().subscribeAsCompletionStage();
        fleet.await("calls to end", calls::isDone);
        double seconds = (fleet.clock().nanoTime() - start) / 1e9;
        double groupedWritesPerSecond =
                (writeCount(fleet) - before) / seconds - idleWritesPerSecond;
        Histogram waits = new Histogram(MAX_MICROS, 3);
        for (CallRecord call : calls.join()) {
            if (call.hasOutcome(Outcome.COMPLETED)) {
                waits.recordValue(Math.min(MAX_MICROS, call.waitTime().toNanos() / 1000));
            }
        }
        return List.of(
                (double) rate,
                waits.getTotalCount() / seconds,
                groupedWritesPerSecond,
                waits.getValueAtPercentile(50) / MICROS_PER_MILLI,
                waits.getValueAtPercentile(99) / MICROS_PER_MILLI,
                ungroupedWritesPerSecond(fleet, calls.join(), idleWritesPerSecond));
    }

    /**
     * Writes the key of each call separately, at the average rate of the calls, and returns the
     * writes per second in excess of those of an idle fleet.
     */
    private static double ungroupedWritesPerSecond(
            ProcessFleet fleet, List<CallRecord> calls, double idleWritesPerSecond)
            throws ProcessException {
        long before = writeCount(fleet);
        long start = fleet.clock().nanoTime();
        Duration gap = WINDOW.dividedBy(Math.max(1, calls.size()));
        for (int i = 0; i < calls.size(); i++) {
            long due = start + gap.multipliedBy(i).toNanos();
            while (fleet.clock().nanoTime() - due < 0) {
                fleet.pause(Duration.ofMillis(1));
            }
            String key = "baseline/" + calls.get(i).nonce() + "/" + i;
            fleet.store()
                    .compareAndSet(key, KeyValueStore.ABSENT, CLAIM_VALUE, Optional.empty())
                    .subscribe()
                    .with(revision -> {}, failure -> {});
        }
        fleet.pause(Duration.ofMillis(200));
        double seconds = (fleet.clock().nanoTime() - start) / 1e9;
        return (writeCount(fleet) - before) / seconds - idleWritesPerSecond;
    }

    private static long writeCount(ProcessFleet fleet) {
        CallCounts counts = fleet.platform().service().counts();
        return counts.writes();
    }
}
