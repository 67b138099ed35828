package org.crocusgrade.cli;

import io.vertx.mutiny.core.Vertx;
import java.net.InetSocketAddress;
import java.util.List;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.standin.StandinFleet;

/** {@code standin worker}: serves stand-in workers at consecutive IP addresses. */
final class StandinWorkerCommand implements Command {
    @Override
    public String name() {
        return "standin worker";
    }

    @Override
    public String help() {
        return "Serves stand-in workers, the first at an address, the others at the IP addresses"
                + " after it.";
    }

    @Override
    public List<Option<?>> options() {
        return List.of(TrialOptions.LISTEN, TrialOptions.DEPLOYMENT, TrialOptions.WORKERS);
    }

    @Override
    public ExitCode run(Invocation invocation) throws CliException {
        InetSocketAddress first = invocation.get(TrialOptions.LISTEN);
        StandinFleet.Spec spec =
                invocation
                        .get(TrialOptions.DEPLOYMENT)
                        .fleet()
                        .withWorkers(invocation.get(TrialOptions.WORKERS));
        new StandinFleet(spec, Clock.system()).startAt(Vertx.vertx(), first).await().indefinitely();
        invocation.err().println("worker: " + spec.workers() + " workers from " + first);
        return TrialOptions.serve();
    }
}
