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
    public ExitCode run(Invocation call) throws CliException {
        InetSocketAddress listen = call.get(TrialOptions.LISTEN);
        new PlatformServer(Clock.system(), call.get(TrialOptions.SEED))
                .start(Vertx.vertx(), listen.getAddress().getHostAddress(), listen.getPort())
                .await()
                .indefinitely();
        call.err().println("platform: listening on " + listen);
        return TrialOptions.serve();
    }
}
