package org.crocusgrade.cli;

import java.time.Duration;
import java.util.List;
import org.crocusgrade.bench.fault.FaultTrial;
import org.crocusgrade.bench.trial.TrialException;
import org.crocusgrade.bench.trial.TrialPlan;
import org.crocusgrade.bench.trial.TrialReport;
import org.crocusgrade.core.config.ValueParsers;

/**
 * {@code faults}: runs daemons as processes with two faults injected at a time, and checks every
 * promise.
 */
final class FaultsCommand implements Command {
    private static final int DEFAULT_SECONDS = 60;
    private static final int MAX_DAEMONS = 9;
    private static final Option<Integer> SECONDS =
            Option.of(
                    "--seconds",
                    ValueParsers.integer(
                            (int) TrialPlan.SHORTEST.toSeconds(),
                            (int) TrialPlan.LONGEST.toSeconds()),
                    DEFAULT_SECONDS,
                    "how long callers send requests and faults are injected");
    private static final Option<Integer> DAEMONS =
            Option.of(
                    "--daemons", ValueParsers.integer(1, MAX_DAEMONS), 3, "the number of daemons");

    @Override
    public String name() {
        return "faults";
    }

    @Override
    public String help() {
        return "Runs daemons as processes with two faults at a time and checks every promise.";
    }

    @Override
    public List<Option<?>> options() {
        return List.of(TrialOptions.DEPLOYMENT, SECONDS, TrialOptions.SEED, DAEMONS);
    }

    @Override
    public ExitCode run(Invocation invocation) throws CliException {
        TrialOptions.quietLogs();
        TrialPlan plan =
                new TrialPlan(
                        invocation.get(TrialOptions.DEPLOYMENT),
                        Duration.ofSeconds(invocation.get(SECONDS)),
                        invocation.get(TrialOptions.SEED),
                        invocation.get(DAEMONS));
        try {
            TrialReport report = new FaultTrial(plan, line -> invocation.err().println(line)).run();
            invocation.print(TrialOptions.json(report.toJson()), report.toText());
            return report.breaches() == 0 ? ExitCode.DONE : ExitCode.REFUSED;
        } catch (TrialException e) {
            throw new CliException(CliMessage.FAILED, e.getMessage());
        }
    }
}
