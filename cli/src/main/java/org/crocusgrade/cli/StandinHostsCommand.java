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
                    "the first worker; the others have the IP numbers after it");
    private static final Option<Duration> LAG =
            Option.of(
                    "--lag",
                    ValueParsers.duration(Duration.ZERO, LONGEST),
                    Duration.ofSeconds(2),
                    "how old the list is");
    private static final Option<Duration> REBOOT =
            Option.of(
                    "--reboot-time",
                    ValueParsers.duration(Duration.ofMillis(1), LONGEST),
                    Duration.ofSeconds(2),
                    "how long a reboot takes");

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
    public ExitCode run(Invocation call) throws CliException {
        InetSocketAddress listen = call.get(TrialOptions.LISTEN);
        List<HostEntry> hosts =
                call.get(TrialOptions.DEPLOYMENT)
                        .fleet()
                        .withWorkers(call.get(TrialOptions.WORKERS))
                        .hostsAt(call.get(FIRST));
        new HostListServer(Clock.system(), hosts, call.get(LAG), call.get(REBOOT))
                .start(Vertx.vertx(), listen.getAddress().getHostAddress(), listen.getPort())
                .await()
                .indefinitely();
        call.err().println("hosts: listening on " + listen);
        return TrialOptions.serve();
    }
}
