package org.crocusgrade.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.util.List;
import java.util.TreeSet;
import org.crocusgrade.core.config.ServiceConfig;
import org.crocusgrade.core.fleet.WorkerState;
import org.crocusgrade.core.id.ServiceId;

/** {@code pools}: prints each pool's workers and demand. */
final class PoolsCommand extends BaseReadCommand {
    PoolsCommand() {
        super("pools", "Shows each pool's workers and demand.");
    }

    @Override
    ExitCode show(Invocation invocation, FleetSnapshot fleet) {
        ArrayNode array = Invocation.JSON.createArrayNode();
        Table table =
                new Table(
                        "POOL",
                        "WORKERS",
                        "SERVING",
                        "ARRIVING",
                        "LEAVING",
                        "MIN",
                        "USUAL",
                        "MAX",
                        "QUEUED",
                        "RUNNING");
        for (ServiceId id : new TreeSet<>(fleet.config().fleet().services().keySet())) {
            ServiceConfig c = fleet.config().fleet().services().get(id);
            List<FleetSnapshot.Host> hosts = fleet.pool(c.pool());
            long serving =
                    hosts.stream().filter(h -> h.worker().state() == WorkerState.SERVING).count();
            long leaving = hosts.stream().filter(FleetSnapshot.Host::isMoving).count();
            long arriving =
                    fleet.hosts().stream()
                            .filter(h -> h.isMoving() && h.worker().target().equals(c.pool()))
                            .count();
            long queued = fleet.sum(id.value(), "queued");
            long running = fleet.sum(id.value(), "running");
            table.row(
                    c.pool(),
                    hosts.size(),
                    serving,
                    arriving,
                    leaving,
                    c.capacity().minWorkers(),
                    c.capacity().usualWorkers(),
                    c.capacity().maxWorkers(),
                    queued,
                    running);
            array.addObject()
                    .put("pool", c.pool().value())
                    .put("workers", hosts.size())
                    .put("serving", serving)
                    .put("arriving", arriving)
                    .put("leaving", leaving)
                    .put("minWorkers", c.capacity().minWorkers())
                    .put("usualWorkers", c.capacity().usualWorkers())
                    .put("maxWorkers", c.capacity().maxWorkers())
                    .put("queued", queued)
                    .put("running", running);
        }
        invocation.print(array, table.toString());
        return ExitCode.DONE;
    }
}
