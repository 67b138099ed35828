package org.crocusgrade.daemon.batch;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.HostControl;

/**
 * The hosts of the simulated workers. Hosts can be maintained but not moved; orders are recorded
 * and checked.
 */
final class SimHosts implements HostControl {
    private static final long MAINTENANCE_MILLIS = 2000;
    private static final long ANSWER_MILLIS = 5;

    /** The time that must lie between the orders of two holders for one host, in milliseconds. */
    private static final long ORDER_SPACING_MILLIS = 3000;

    private static final long MOVE_MILLIS = 1500;

    private final SimTime time;
    private final SimChecks checks;
    private final Map<WorkerId, SimWorker> workers;
    private final Consumer<SimWorker> onRestarted;
    private final Consumer<String> onMoved;
    private final Set<String> standby = new LinkedHashSet<>();
    private final List<HostOrder> orders = new ArrayList<>();
    private final Map<HostId, HostOrder> latest = new HashMap<>();
    private final Set<HostId> inMaintenance = new HashSet<>();
    private final Set<HostId> maintained = new HashSet<>();
    private final Set<WorkerId> lost = new HashSet<>();
    private boolean refusing;
    private long delayMillis = ANSWER_MILLIS;
    private int sent;

    SimHosts(
            SimTime time,
            SimChecks checks,
            Map<WorkerId, SimWorker> workers,
            Consumer<SimWorker> onRestarted,
            Consumer<String> onMoved) {
        this.time = time;
        this.checks = checks;
        this.workers = workers;
        this.onRestarted = onRestarted;
        this.onMoved = onMoved;
    }

    static HostId hostOf(WorkerId worker) {
        return new HostId("h-" + worker);
    }

    /** Adds a host on standby; in a pool, it runs a worker of the given name. */
    void addStandby(String worker) {
        standby.add(worker);
    }

    /** Removes the host of a worker from the list, for good. */
    void lose(WorkerId worker) {
        lost.add(worker);
    }

    /** Sets whether orders are rejected because the host is busy. */
    void setRefusing(boolean now) {
        refusing = now;
    }

    /** Sets how long orders are on their way before they are carried out, in milliseconds. */
    void setDelay(long millis) {
        delayMillis = millis;
    }

    /** Returns how many hosts are on standby. */
    int standbyHosts() {
        return standby.size();
    }

    /** Returns how many orders were sent, also those that are on their way. */
    int sent() {
        return sent;
    }

    List<HostOrder> orders() {
        return orders;
    }

    Set<HostId> maintained() {
        return maintained;
    }

    @Override
    public Uni<List<PooledHost>> hosts() {
        List<PooledHost> hosts = new ArrayList<>();
        for (SimWorker worker : workers.values()) {
            if (lost.contains(worker.id)) {
                continue;
            }
            HostId host = hostOf(worker.id);
            State state = worker.isDown() ? State.DOWN : State.UP;
            hosts.add(
                    new PooledHost(
                            host,
                            SimFleet.SERVICE,
                            inMaintenance.contains(host) ? State.MAINTENANCE : state,
                            "zone",
                            List.of("a", "r1"),
                            SimFleet.CAPACITY,
                            Optional.of(worker.id)));
        }
        for (String name : standby) {
            hosts.add(
                    new PooledHost(
                            hostOf(new WorkerId(name)),
                            SimFleet.STANDBY,
                            State.UP,
                            "zone",
                            List.of("a", "r1"),
                            SimFleet.CAPACITY,
                            Optional.empty()));
        }
        return Uni.createFrom().item(hosts);
    }

    @Override
    public Uni<Outcome> move(HostId host, ServiceId pool, Credentials credentials) {
        Optional<String> name =
                standby.stream().filter(n -> hostOf(new WorkerId(n)).equals(host)).findFirst();
        if (name.isEmpty() || !pool.equals(SimFleet.SERVICE)) {
            return Uni.createFrom().item(Outcome.BUSY);
        }
        standby.remove(name.get());
        time.afterMillis(MOVE_MILLIS, () -> onMoved.accept(name.get()));
        return Uni.createFrom().item(Outcome.DONE);
    }

    @Override
    public Uni<Outcome> maintain(HostId host, int wave, Credentials credentials) {
        sent++;
        return Uni.createFrom()
                .emitter(
                        e ->
                                time.afterMillis(
                                        delayMillis,
                                        () -> e.complete(carryOut(host, credentials))));
    }

    private Outcome carryOut(HostId host, Credentials credentials) {
        HostOrder order = new HostOrder(time.millis(), host, credentials.token());
        HostOrder previous = latest.put(host, order);
        orders.add(order);
        if (previous != null
                && previous.token != order.token
                && order.millis - previous.millis < ORDER_SPACING_MILLIS) {
            checks.addViolation("two holders order " + host + " within the order spacing");
        }
        if (previous != null && order.token < previous.token) {
            checks.addViolation("a former holder orders " + host + " after its successor");
        }
        if (maintained.contains(host)) {
            return Outcome.DONE;
        }
        if (refusing) {
            return Outcome.BUSY;
        }
        SimWorker worker =
                workers.values().stream()
                        .filter(w -> hostOf(w.id).equals(host))
                        .findFirst()
                        .orElseThrow();
        if (worker.isDown()) {
            return Outcome.BUSY;
        }
        if (!worker.report().running().isEmpty()) {
            checks.addViolation("maintenance of " + host + " interrupts tasks");
        }
        inMaintenance.add(host);
        maintained.add(host);
        if (inMaintenance.size() > SimFormat.WAVE_AT_ONCE) {
            checks.addViolation(inMaintenance.size() + " hosts are in maintenance for a wave");
        }
        worker.crash();
        time.afterMillis(
                MAINTENANCE_MILLIS,
                () -> {
                    inMaintenance.remove(host);
                    worker.restart();
                    onRestarted.accept(worker);
                });
        return Outcome.DONE;
    }

    /**
     * An order that was received.
     *
     * @param millis when it was received, on the simulated clock
     * @param token the fencing token of its sender
     */
    record HostOrder(long millis, HostId host, long token) {}
}
