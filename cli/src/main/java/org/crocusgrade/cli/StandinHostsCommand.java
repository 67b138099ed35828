package org.crocusgrade.cli;

import io.vertx.mutiny.core.Vertx;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.List;
import org.crocusgrade.core.config.ValueParsers;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.HostEntry;
import org.crocusgrade.standin.HostListServer;

/** {@code standin hosts}: serves the stand-in of the platform's host list. */
final class StandinHostsCommand implements Command {
    private static final Duration LONGEST = Duration.ofMinutes(10);
    private static final Option<InetSocketAddress> FIRST =
            Option.required(
                    "--workers-at",
                    ValueParsers.address(),
                    "the first worker; the others have the following IP addresses");
    private static final Option<Duration> LAG =
            Option.of(
                    "--lag",
                    ValueParsers.duration(Duration.ZERO, LONGEST),
                    Duration.ofSeconds(2),
                    "the age of the served list");
    private static final Option<Duration> REBOOT =
            Option.of(
                    "--reboot-time",
                    ValueParsers.duration(Duration.ofMillis(1), LONGEST),
                    Duration.ofSeconds(2),
                    "the duration of a reboot");

    @Override
    public String name() {
        return "standin hosts";
    }

    @Override
    public String help() {
        return "Serves the stand-in of the platform's host list.";
    }

    @Override
    public List<Option<?>> options() {
        return List.of(
                TrialOptions.LISTEN,
                FIRST,
                TrialOptions.DEPLOYMENT,
                TrialOptions.WORKERS,
                LAG,
                REBOOT);
    }

    @Override
    public ExitCode run(Invocation invocation) throws CliException {
        InetSocketAddress listen = invocation.get(TrialOptions.LISTEN);
        List<HostEntry> hosts =
                invocation
                        .get(TrialOptions.DEPLOYMENT)
                        .fleet()
                        .withWorkers(invocation.get(TrialOptions.WORKERS))
                        .hostsAt(invocation.get(FIRST));
        new HostListServer(Clock.system(), hosts, invocation.get(LAG), invocation.get(REBOOT))
                .start(Vertx.vertx(), listen.getAddress().getHostAddress(), listen.getPort())
                .await()
                .indefinitely();
        invocation.err().println("hosts: listening on " + listen);
        return TrialOptions.serve();
    }
}
