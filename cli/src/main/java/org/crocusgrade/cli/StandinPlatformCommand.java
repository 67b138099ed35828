package org.crocusgrade.cli;

import io.vertx.mutiny.core.Vertx;
import java.net.InetSocketAddress;
import java.util.List;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.standin.PlatformServer;

/** {@code standin platform}: serves the stand-in of the platform's key-value service. */
final class StandinPlatformCommand implements Command {
    @Override
    public String name() {
        return "standin platform";
    }

    @Override
    public String help() {
        return "Serves the stand-in of the platform's key-value service.";
    }

    @Override
    public List<Option<?>> options() {
        return List.of(TrialOptions.LISTEN, TrialOptions.SEED);
    }

    @Override
    public ExitCode run(Invocation invocation) throws CliException {
        InetSocketAddress listen = invocation.get(TrialOptions.LISTEN);
        new PlatformServer(Clock.system(), invocation.get(TrialOptions.SEED))
                .start(Vertx.vertx(), listen.getAddress().getHostAddress(), listen.getPort())
                .await()
                .indefinitely();
        invocation.err().println("platform: listening on " + listen);
        return TrialOptions.serve();
    }
}
