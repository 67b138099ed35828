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
 * Runs one service's requests at this daemon: carries events to its queue, one at a time, and
 * carries out what the queue decides.
 */
public final class ServiceFlow implements DispatchActions {
    /** What a flow uses of the daemon. */
    public record Parts(
            Clock clock,
            AvailabilityZone zone,
            SlotPool slots,
            WorkerClient workers,
            DaemonMetrics metrics,
            Runnable demandChanged) {}

    /** The time in which a worker ends an attempt that it was asked to cancel. */
    private static final Duration CANCEL_GRACE = Duration.ofSeconds(1);

    /** The time for which an attempt that must not be cancelled may run on. */
    private static final Duration RUN_ON_GRACE = Duration.ofMinutes(10);

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final Parts parts;
    private volatile ServiceConfig config;
    private final Mailbox mailbox;
    private final ServiceQueue queue;
    private final Map<RequestId, Exchange> exchanges = new HashMap<>();
    private final WorkerHealth health = new WorkerHealth();
    private Set<WorkerId> granted = new HashSet<>();
    private volatile FleetSnapshot fleet = FleetSnapshot.EMPTY;
    private int wantedBefore;
    private int daemons;

    /** Makes a flow; its events run on the executor. */
    public ServiceFlow(ServiceConfig config, Parts parts, Executor executor, int daemons) {
        this.parts = parts;
        this.config = config;
        mailbox = new Mailbox(executor);
        this.daemons = daemons;
        queue = new ServiceQueue(settings(), this, RandomSource.XO_RO_SHI_RO_128_PP.create());
    }

    /** Takes a changed configuration of the same service and pool. */
    void configure(ServiceConfig changed) {
        config = changed;
        event(now -> queue.configure(settings(), now));
    }

    private QueueSettings settings() {
        return QueueSettings.of(config, Optional.of(parts.zone()), daemons);
    }

    /** Returns the service's configuration. */
    public ServiceConfig config() {
        return config;
    }

    /** Takes a caller's request. */
    void submit(Exchange exchange) {
        event(
                now -> {
                    exchanges.put(exchange.request.id(), exchange);
                    queue.offer(exchange.request, now);
                });
    }

    /** Takes it that a caller left. */
    void cancel(RequestId request) {
        event(now -> queue.cancel(request, now));
    }

    /** Takes the slots that the daemon holds now for the service's pool. */
    public void slotsChanged(FleetSnapshot snapshot) {
        fleet = snapshot;
        event(this::grant);
    }

    private void countDaemons(long now) {
        int members = Math.max(1, fleet.members().size());
        if (members != daemons) {
            daemons = members;
            queue.configure(settings(), now);
        }
    }

    /** Refuses new requests from now on. */
    public void stop() {
        event(queue::stop);
    }

    /** Does what is due by time, if anything is. */
    public void tick() {
        if (queue.nextWakeNanos() - parts.clock().nanoTime() <= 0) {
            event(queue::tick);
        }
    }

    /** Returns the slots that would serve the demand, from any thread. */
    public int wantedSlots() {
        return queue.wantedSlots();
    }

    /** Returns this daemon's demand for the service's pool, from any thread. */
    public PoolDemand demand() {
        double queuedSlots = queue.queued() * queue.meanRunSeconds();
        return new PoolDemand(config.pool(), queue.offeredSlots(), queuedSlots, queue.running());
    }

    /** Returns the mean run time that is reckoned with, in seconds, from any thread. */
    public double meanRunSeconds() {
        return queue.meanRunSeconds();
    }

    /** Returns the requests that wait, from any thread. */
    public int queued() {
        return queue.queued();
    }

    /** Returns the attempts that run, from any thread. */
    public int running() {
        return queue.running();
    }

    @Override
    public void start(Attempt attempt) {
        Exchange exchange = exchanges.get(attempt.request().id());
        long now = parts.clock().nanoTime();
        Optional<Slot> slot = parts.slots().acquire(config.pool(), attempt.worker()::equals, now);
        Optional<HostEntry> host = fleet.host(attempt.worker());
        if (slot.isEmpty() || host.isEmpty()) {
            slot.ifPresent(held -> parts.slots().release(held, now));
            event(later -> queue.finished(attempt, RunEnd.LEASE_LOST, later));
            return;
        }
        exchange.slot = slot.get();
        send(attempt, exchange, host.get().address());
    }

    private void send(Attempt attempt, Exchange exchange, InetSocketAddress worker) {
        long left = attempt.request().deadlineNanos() - parts.clock().nanoTime();
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
                        Duration.ofNanos(Math.max(0, left)).plus(grace()),
                        () -> slot.isValid(parts.clock().nanoTime()));
        parts.workers()
                .run(call)
                .onSuccess(result -> event(now -> finished(attempt, slot, result, now)));
    }

    /** Returns how long an attempt may go on after its deadline, holding its slot. */
    private Duration grace() {
        return config.cancelRunning() ? CANCEL_GRACE : RUN_ON_GRACE;
    }

    private void finished(Attempt attempt, Slot slot, RunResult result, long now) {
        parts.slots().release(slot, now);
        Exchange exchange = exchanges.get(attempt.request().id());
        if (exchange != null) {
            exchange.result = result;
        }
        queue.finished(attempt, result.end(), now);
        judge(attempt.worker(), result.end(), now);
    }

    /** Takes an end to the worker's health; what may be started changes when its state does. */
    private void judge(WorkerId worker, RunEnd end, long now) {
        WorkerHealth.State before = health.state(worker, now);
        health.report(worker, end, now);
        WorkerHealth.State after = health.state(worker, now);
        if (after == before) {
            return;
        }
        if (after == WorkerHealth.State.OUT) {
            parts.metrics().takenOut(config.service());
            logger.atWarning().log("dispatch: %s fails what it starts, kept off it", worker);
        }
        grant(now);
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
                .ifPresent(host -> parts.workers().cancel(host.address(), attempt.id()));
    }

    @Override
    public void retried(Attempt failed, RunEnd end) {
        parts.metrics().retried(config.service(), end);
    }

    private void grant(long now) {
        countDaemons(now);
        Map<WorkerId, HeldSlots> held = new HashMap<>();
        for (Slot slot : parts.slots().usable(config.pool(), now)) {
            held.computeIfAbsent(slot.worker(), worker -> new HeldSlots(slot)).add(slot);
        }
        health.pool(held.size(), 0);
        Set<WorkerId> next = new HashSet<>();
        for (HeldSlots each : held.values()) {
            Optional<HostEntry> host = fleet.host(each.worker);
            if (host.isPresent()) {
                next.add(each.worker);
                int allowed = health.allowedSlots(each.worker, each.count, now);
                queue.granted(each.grant(host.get(), allowed), now);
            }
        }
        for (WorkerId worker : granted) {
            if (!next.contains(worker)) {
                Needs none = new Needs(0, 0, 0);
                queue.granted(new WorkerGrant(worker, parts.zone(), none, 0, now), now);
            }
        }
        granted = next;
    }

    private void event(Event event) {
        mailbox.execute(
                () -> {
                    event.at(parts.clock().nanoTime());
                    int wanted = queue.wantedSlots();
                    if (wanted != wantedBefore) {
                        wantedBefore = wanted;
                        parts.demandChanged().run();
                    }
                });
    }

    /** One step with the time at which it runs. */
    private interface Event {
        void at(long nanoTime);
    }

    /** The slots held on one worker. */
    private static final class HeldSlots {
        final WorkerId worker;
        private final AvailabilityZone zone;
        private int count;
        private long untilNanos;

        HeldSlots(Slot first) {
            worker = first.worker();
            zone = first.zone();
            untilNanos = first.endNanos();
        }

        void add(Slot slot) {
            count++;
            if (slot.endNanos() - untilNanos < 0) {
                untilNanos = slot.endNanos();
            }
        }

        WorkerGrant grant(HostEntry host, int allowed) {
            Needs size = new Needs(host.cores(), host.memoryBytes(), host.accelerators());
            return new WorkerGrant(worker, zone, size, allowed, untilNanos);
        }
    }
}
