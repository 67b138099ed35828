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
 * Asks workers how many requests they run while slots are blocked by daemons that are gone. On the
 * control thread.
 */
public final class WorkerProber {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration PERIOD = Duration.ofMillis(250);

    private final SlotTable table;
    private final SlotExchange exchange;
    private final Function<InetSocketAddress, Future<Integer>> running;
    private final Clock clock;
    private final Executor control;
    private final Set<WorkerId> asked = new HashSet<>();
    private long askedNanos;

    /**
     * Makes a prober.
     *
     * @param running asks the worker at an address
     */
    public WorkerProber(
            SlotTable table,
            SlotExchange exchange,
            Function<InetSocketAddress, Future<Integer>> running,
            Clock clock,
            Executor control) {
        this.table = table;
        this.exchange = exchange;
        this.running = running;
        this.clock = clock;
        this.control = control;
        askedNanos = clock.nanoTime();
    }

    /** Asks the workers that are due. */
    public void tick(FleetSnapshot fleet) {
        long now = clock.nanoTime();
        if (now - askedNanos < PERIOD.toNanos()) {
            return;
        }
        askedNanos = now;
        for (WorkerId worker : table.workers()) {
            Optional<HostEntry> host = fleet.host(worker);
            if (host.isPresent() && table.hasOrphans(worker) && asked.add(worker)) {
                ask(worker, host.get().address());
            }
        }
    }

    private void ask(WorkerId worker, InetSocketAddress address) {
        long sent = clock.nanoTime();
        running.apply(address)
                .onComplete(answer -> control.execute(() -> onAnswer(worker, sent, answer)));
    }

    private void onAnswer(WorkerId worker, long sent, AsyncResult<Integer> answer) {
        asked.remove(worker);
        if (answer.failed() || answer.result() == null || answer.result() < 0) {
            logger.atFine().log("owner: probe of %s failed", worker);
            return;
        }
        long now = clock.nanoTime();
        exchange.send(table.onWorkerRunning(worker, answer.result(), sent, now));
    }
}
