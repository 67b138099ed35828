package org.crocusgrade.daemon.edge;

import com.google.common.flogger.FluentLogger;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.Executor;
import org.apache.commons.rng.simple.RandomSource;
import org.crocusgrade.core.config.ServiceConfig;
import org.crocusgrade.core.config.ServiceConfig.Needs;
import org.crocusgrade.core.dispatch.Attempt;
import org.crocusgrade.core.dispatch.DispatchActions;
import org.crocusgrade.core.dispatch.QueueSettings;
import org.crocusgrade.core.dispatch.Reason;
import org.crocusgrade.core.dispatch.Request;
import org.crocusgrade.core.dispatch.RunEnd;
import org.crocusgrade.core.dispatch.ServiceQueue;
import org.crocusgrade.core.dispatch.WorkerGrant;
import org.crocusgrade.core.dispatch.WorkerHealth;
import org.crocusgrade.core.fleet.Slot;
import org.crocusgrade.core.fleet.SlotPool;
import org.crocusgrade.core.fleet.plan.DemandReport.PoolDemand;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.RequestId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.HostEntry;
import org.crocusgrade.daemon.concurrent.Mailbox;
import org.crocusgrade.daemon.control.FleetSnapshot;
import org.crocusgrade.daemon.metrics.DaemonMetrics;
import org.crocusgrade.daemon.upstream.RunCall;
import org.crocusgrade.daemon.upstream.RunResult;
import org.crocusgrade.daemon.upstream.WorkerClient;

/**
 * Runs one service's requests at this daemon. Events are passed to the {@link ServiceQueue} one at
 * a time, through a mailbox, and the queue's decisions are carried out.
 */
public final class ServiceFlow implements DispatchActions {
    /**
     * The daemon's components that a flow uses.
     *
     * @param clock the clock
     * @param zone the daemon's availability zone
     * @param slots the slots that are leased to this daemon
     * @param workers sends attempts to workers
     * @param metrics counts answers, retries and ejected workers
     * @param demandChanged runs after the number of slots that the service wants has changed
     */
    public record Dependencies(
            Clock clock,
            AvailabilityZone zone,
            SlotPool slots,
            WorkerClient workers,
            DaemonMetrics metrics,
            Runnable demandChanged) {}

    /**
     * The maximum time after its deadline for which an attempt that is cancelled at its worker may
     * keep its slot.
     */
    private static final Duration CANCEL_GRACE = Duration.ofSeconds(1);

    /** The maximum time after its deadline for which any other attempt may keep its slot. */
    private static final Duration UNCANCELLED_GRACE = Duration.ofMinutes(10);

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Dependencies dependencies;
    private volatile ServiceConfig config;
    private final Mailbox mailbox;
    private final ServiceQueue queue;
    private final Map<RequestId, Exchange> exchanges = new HashMap<>();
    private final WorkerHealth health = new WorkerHealth();
    private Set<WorkerId> granted = new HashSet<>();
    private volatile FleetSnapshot fleet = FleetSnapshot.EMPTY;
    private int lastWantedSlots;
    private int daemons;

    /**
     * Creates a flow without requests.
     *
     * @param executor runs the flow's events, one at a time
     * @param daemons the number of daemons that share the service's quotas
     */
    public ServiceFlow(
            ServiceConfig config, Dependencies dependencies, Executor executor, int daemons) {
        this.dependencies = dependencies;
        this.config = config;
        mailbox = new Mailbox(executor);
        this.daemons = daemons;
        queue = new ServiceQueue(settings(), this, RandomSource.XO_RO_SHI_RO_128_PP.create());
    }

    /** Applies a changed configuration of the same service and pool. */
    void configure(ServiceConfig changed) {
        config = changed;
        enqueue(now -> queue.configure(settings(), now));
    }

    private QueueSettings settings() {
        return QueueSettings.of(config, Optional.of(dependencies.zone()), daemons);
    }

    /** Returns the service's configuration. */
    public ServiceConfig config() {
        return config;
    }

    /** Passes a caller's request to the queue. */
    void submit(Exchange exchange) {
        enqueue(
                now -> {
                    exchanges.put(exchange.request.id(), exchange);
                    queue.offer(exchange.request, now);
                });
    }

    /** Cancels a request whose caller has disconnected. */
    void cancel(RequestId request) {
        enqueue(now -> queue.cancel(request, now));
    }

    /**
     * Updates the queue's grants from the slots that the daemon now holds for the service's pool.
     *
     * @param snapshot the current hosts and members, used from now on
     */
    public void slotsChanged(FleetSnapshot snapshot) {
        fleet = snapshot;
        enqueue(this::updateGrants);
    }

    private void updateDaemonCount(long now) {
        int members = Math.max(1, fleet.members().size());
        if (members != daemons) {
            daemons = members;
            queue.configure(settings(), now);
        }
    }

    /** Refuses new requests from now on. */
    public void stop() {
        enqueue(queue::stop);
    }

    /** Runs the queue's timers if one is due. */
    public void tick() {
        if (queue.nextWakeNanos() - dependencies.clock().nanoTime() <= 0) {
            enqueue(queue::tick);
        }
    }

    /** Returns the number of slots that would serve the demand; may be called from any thread. */
    public int wantedSlots() {
        return queue.wantedSlots();
    }

    /** Returns this daemon's demand for the service's pool; may be called from any thread. */
    public PoolDemand demand() {
        double queuedSlots = queue.queued() * queue.meanRunSeconds();
        return new PoolDemand(config.pool(), queue.offeredSlots(), queuedSlots, queue.running());
    }

    /** Returns the estimated mean run time in seconds; may be called from any thread. */
    public double meanRunSeconds() {
        return queue.meanRunSeconds();
    }

    /** Returns the number of queued requests; may be called from any thread. */
    public int queued() {
        return queue.queued();
    }

    /** Returns the number of running attempts; may be called from any thread. */
    public int running() {
        return queue.running();
    }

    @Override
    public void start(Attempt attempt) {
        Exchange exchange = exchanges.get(attempt.request().id());
        long now = dependencies.clock().nanoTime();
        Optional<Slot> slot =
                dependencies.slots().acquire(config.pool(), attempt.worker()::equals, now);
        Optional<HostEntry> host = fleet.host(attempt.worker());
        if (slot.isEmpty() || host.isEmpty()) {
            slot.ifPresent(held -> dependencies.slots().release(held, now));
            enqueue(later -> queue.finished(attempt, RunEnd.LEASE_LOST, later));
            return;
        }
        exchange.slot = slot.get();
        send(attempt, exchange, host.get().address());
    }

    private void send(Attempt attempt, Exchange exchange, InetSocketAddress worker) {
        long remainingNanos = attempt.request().deadlineNanos() - dependencies.clock().nanoTime();
        Slot slot = exchange.slot;
        RunCall call =
                new RunCall(
                        attempt.id(),
                        worker,
                        config.service(),
                        config.pool(),
                        exchange.method,
                        exchange.path,
                        exchange.headers,
                        exchange.body,
                        Duration.ofNanos(Math.max(0, remainingNanos)).plus(grace()),
                        () -> slot.isValid(dependencies.clock().nanoTime()));
        dependencies
                .workers()
                .run(call)
                .onSuccess(result -> enqueue(now -> onRunEnd(attempt, slot, result, now)));
    }

    /** Returns how long after its deadline an attempt may keep its slot. */
    private Duration grace() {
        return config.cancelRunning() ? CANCEL_GRACE : UNCANCELLED_GRACE;
    }

    private void onRunEnd(Attempt attempt, Slot slot, RunResult result, long now) {
        dependencies.slots().release(slot, now);
        Exchange exchange = exchanges.get(attempt.request().id());
        if (exchange != null) {
            exchange.result = result;
        }
        queue.finished(attempt, result.end(), now);
        updateHealth(attempt.worker(), result.end(), now);
    }

    /**
     * Reports the end of an attempt to the worker's health, and updates the grants if the worker's
     * health state changed, since the state limits how many of its slots are used.
     */
    private void updateHealth(WorkerId worker, RunEnd end, long now) {
        WorkerHealth.State before = health.state(worker, now);
        health.report(worker, end, now);
        WorkerHealth.State after = health.state(worker, now);
        if (after == before) {
            return;
        }
        if (after == WorkerHealth.State.OUT) {
            dependencies.metrics().ejected(config.service());
            logger.atWarning().log(
                    "dispatch: worker %s ejected: most of its recent attempts failed", worker);
        }
        updateGrants(now);
    }

    @Override
    public void deliver(Attempt attempt) {
        Exchange exchange = exchanges.remove(attempt.request().id());
        exchange.responder.deliver(exchange.result.answer().orElseThrow());
    }

    @Override
    public void answer(Request request, Reason reason, Optional<Duration> retryAfter) {
        exchanges.remove(request.id()).responder.refuse(reason, retryAfter);
    }

    @Override
    public void cancelRun(Attempt attempt) {
        fleet.host(attempt.worker())
                .ifPresent(host -> dependencies.workers().cancel(host.address(), attempt.id()));
    }

    @Override
    public void retried(Attempt failed, RunEnd end) {
        dependencies.metrics().retried(config.service(), end);
    }

    private void updateGrants(long now) {
        updateDaemonCount(now);
        Map<WorkerId, WorkerSlots> slotsByWorker = new HashMap<>();
        for (Slot slot : dependencies.slots().usable(config.pool(), now)) {
            slotsByWorker.computeIfAbsent(slot.worker(), worker -> new WorkerSlots(slot)).add(slot);
        }
        health.setPoolSize(slotsByWorker.size(), 0);
        Set<WorkerId> nextGranted = new HashSet<>();
        for (WorkerSlots workerSlots : slotsByWorker.values()) {
            Optional<HostEntry> host = fleet.host(workerSlots.worker);
            if (host.isPresent()) {
                nextGranted.add(workerSlots.worker);
                int allowed = health.allowedSlots(workerSlots.worker, workerSlots.count, now);
                queue.granted(workerSlots.grant(host.get(), allowed), now);
            }
        }
        for (WorkerId worker : granted) {
            if (!nextGranted.contains(worker)) {
                Needs none = new Needs(0, 0, 0);
                queue.granted(new WorkerGrant(worker, dependencies.zone(), none, 0, now), now);
            }
        }
        granted = nextGranted;
    }

    private void enqueue(Event event) {
        mailbox.execute(
                () -> {
                    event.at(dependencies.clock().nanoTime());
                    int wantedSlots = queue.wantedSlots();
                    if (wantedSlots != lastWantedSlots) {
                        lastWantedSlots = wantedSlots;
                        dependencies.demandChanged().run();
                    }
                });
    }

    /** An event of the queue; it receives the monotonic time at which it is handled. */
    private interface Event {
        void at(long nanoTime);
    }

    /** The usable slots on one worker; the earliest end of their leases limits the grant. */
    private static final class WorkerSlots {
        final WorkerId worker;
        private final AvailabilityZone zone;
        private int count;
        private long earliestEndNanos;

        WorkerSlots(Slot first) {
            worker = first.worker();
            zone = first.zone();
            earliestEndNanos = first.endNanos();
        }

        void add(Slot slot) {
            count++;
            if (slot.endNanos() - earliestEndNanos < 0) {
                earliestEndNanos = slot.endNanos();
            }
        }

        WorkerGrant grant(HostEntry host, int allowed) {
            Needs size = new Needs(host.cores(), host.memoryBytes(), host.accelerators());
            return new WorkerGrant(worker, zone, size, allowed, earliestEndNanos);
        }
    }
}
