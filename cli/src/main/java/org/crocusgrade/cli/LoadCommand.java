package org.crocusgrade.cli;

import io.vertx.mutiny.core.Vertx;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.crocusgrade.bench.trial.Deployment;
import org.crocusgrade.bench.trial.TrialPlan;
import org.crocusgrade.bench.trial.TrialReport;
import org.crocusgrade.core.config.ValueParsers;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.standin.load.CallRecord;
import org.crocusgrade.standin.load.CallerLoad;
import org.crocusgrade.standin.load.PeakSchedule;
import org.crocusgrade.standin.load.QueueLoad;

/**
 * {@code load}: sends requests to running daemons, from simulated callers whose queues peak in
 * turns.
 */
final class LoadCommand implements Command {
    private static final int MAX_TARGETS = 256;
    private static final int DEFAULT_SECONDS = 30;
    private static final Duration SHORTEST_TURN = Duration.ofSeconds(3);
    private static final Duration LONGEST_TURN = Duration.ofSeconds(6);
    private static final Duration COMPLETION_GRACE = Duration.ofMinutes(2);
    private static final Option<List<InetSocketAddress>> TARGET =
            Option.required(
                    "--target",
                    ValueParsers.list(ValueParsers.address(), MAX_TARGETS),
                    "the daemons' addresses for callers");
    private static final Option<Integer> SECONDS =
            Option.of(
                    "--seconds",
                    ValueParsers.integer(1, (int) TrialPlan.LONGEST.toSeconds()),
                    DEFAULT_SECONDS,
                    "how long callers send requests");

    @Override
    public String name() {
        return "load";
    }

    @Override
    public String help() {
        return "Sends callers' requests to running daemons and shows the answers they received.";
    }

    @Override
    public List<Option<?>> options() {
        return List.of(TARGET, TrialOptions.DEPLOYMENT, SECONDS, TrialOptions.SEED);
    }

    @Override
    public ExitCode run(Invocation invocation) {
        Deployment deployment = invocation.get(TrialOptions.DEPLOYMENT);
        List<InetSocketAddress> targets = invocation.get(TARGET);
        Duration length = Duration.ofSeconds(invocation.get(SECONDS));
        long seed = invocation.get(TrialOptions.SEED);
        List<QueueLoad> loads = deployment.loads();
        PeakSchedule schedule =
                new PeakSchedule(loads.size(), length, SHORTEST_TURN, LONGEST_TURN, seed);
        Vertx vertx = Vertx.vertx();
        try {
            CallerLoad load =
                    new CallerLoad(
                            vertx, Clock.system(), () -> targets, loads, schedule, length, seed);
            List<CallRecord> calls = load.run().await().atMost(length.plus(COMPLETION_GRACE));
            TrialReport report = new TrialReport(calls, 0, 0, Optional.empty(), List.of());
            invocation.print(TrialOptions.json(report.callsToJson()), report.callsToText());
            return ExitCode.DONE;
        } finally {
            vertx.closeAndAwait();
        }
    }
}
