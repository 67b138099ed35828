package org.crocusgrade.daemon.owner;

import com.google.common.flogger.FluentLogger;
import io.vertx.core.AsyncResult;
import io.vertx.core.Future;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import java.util.function.Function;
import org.crocusgrade.core.fleet.SlotTable;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.HostEntry;
import org.crocusgrade.daemon.control.FleetSnapshot;

/**
 * Queries how many requests a worker is running while some of its slots are orphaned: they were
 * granted to a daemon that has ended or by a previous owner. Runs on the control thread.
 */
public final class WorkerProber {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration PERIOD = Duration.ofMillis(250);

    private final SlotTable table;
    private final SlotExchange exchange;
    private final Function<InetSocketAddress, Future<Integer>> runningCount;
    private final Clock clock;
    private final Executor control;
    private final Set<WorkerId> inFlight = new HashSet<>();
    private long lastProbeNanos;

    /**
     * Creates a prober.
     *
     * @param runningCount queries the worker at an address; a negative result counts as a failure
     */
    public WorkerProber(
            SlotTable table,
            SlotExchange exchange,
            Function<InetSocketAddress, Future<Integer>> runningCount,
            Clock clock,
            Executor control) {
        this.table = table;
        this.exchange = exchange;
        this.runningCount = runningCount;
        this.clock = clock;
        this.control = control;
        lastProbeNanos = clock.nanoTime();
    }

    /** Probes each worker with orphaned slots and no probe in flight, once per period. */
    public void tick(FleetSnapshot fleet) {
        long now = clock.nanoTime();
        if (now - lastProbeNanos < PERIOD.toNanos()) {
            return;
        }
        lastProbeNanos = now;
        for (WorkerId worker : table.workers()) {
            Optional<HostEntry> host = fleet.host(worker);
            if (host.isPresent() && table.hasOrphans(worker) && inFlight.add(worker)) {
                probe(worker, host.get().address());
            }
        }
    }

    private void probe(WorkerId worker, InetSocketAddress address) {
        long sentNanos = clock.nanoTime();
        runningCount
                .apply(address)
                .onComplete(answer -> control.execute(() -> onAnswer(worker, sentNanos, answer)));
    }

    private void onAnswer(WorkerId worker, long sentNanos, AsyncResult<Integer> answer) {
        inFlight.remove(worker);
        if (answer.failed() || answer.result() == null || answer.result() < 0) {
            logger.atFine().log("owner: cannot query the running requests of worker %s", worker);
            return;
        }
        long now = clock.nanoTime();
        exchange.send(table.onWorkerRunning(worker, answer.result(), sentNanos, now));
    }
}
