package org.crocusgrade.daemon.edge;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Supplier;
import org.crocusgrade.core.config.FleetConfig;
import org.crocusgrade.core.config.ServiceConfig;
import org.crocusgrade.core.fleet.plan.DemandReport.PoolDemand;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.daemon.control.FleetSnapshot;

/**
 * Manages the flows of all services of the configuration in force. A new configuration replaces the
 * table as a whole. A flow whose service was removed or moved to another pool takes no new
 * requests, but is kept until its last request is answered.
 *
 * <p>All methods but {@link #table}, {@link #isBusy} and {@link #stop} run on the control thread.
 */
public final class FlowManager {
    private static final double MIN_DEMAND_SLOTS = 0.001;

    private final ServiceFlow.Dependencies dependencies;
    private final Supplier<Executor> executors;
    private final AtomicReference<FlowTable> table = new AtomicReference<>(FlowTable.EMPTY);
    private final List<ServiceFlow> retiring = new CopyOnWriteArrayList<>();

    /**
     * Creates a manager without flows.
     *
     * @param executors supplies the executor of each new flow
     */
    public FlowManager(ServiceFlow.Dependencies dependencies, Supplier<Executor> executors) {
        this.dependencies = dependencies;
        this.executors = executors;
    }

    /** Returns the reference to the table of the configuration in force. */
    public AtomicReference<FlowTable> table() {
        return table;
    }

    /**
     * Applies a configuration. The flows of services that keep their pool are reconfigured and keep
     * their requests; the others are replaced.
     *
     * @param daemons the number of daemons that share the services' quotas, for new flows
     */
    public void apply(FleetConfig config, int daemons) {
        Map<ServiceId, ServiceFlow> current = table.get().flows();
        Map<ServiceId, ServiceFlow> next = new HashMap<>();
        for (ServiceConfig service : config.services().values()) {
            ServiceFlow old = current.get(service.service());
            boolean keepsPool = old != null && old.config().pool().equals(service.pool());
            if (keepsPool && !old.config().equals(service)) {
                old.configure(service);
            }
            next.put(
                    service.service(),
                    keepsPool
                            ? old
                            : new ServiceFlow(service, dependencies, executors.get(), daemons));
        }
        table.set(new FlowTable(next));
        for (ServiceFlow old : current.values()) {
            if (next.get(old.config().service()) != old) {
                retiring.add(old);
            }
        }
    }

    /** Removes retired flows that have become empty and runs the due timers of the others. */
    public void tick() {
        retiring.removeIf(flow -> flow.queued() + flow.running() == 0);
        allFlows().forEach(ServiceFlow::tick);
    }

    /** Passes a change of the leased slots or of the fleet to every flow. */
    public void slotsChanged(FleetSnapshot snapshot) {
        allFlows().forEach(flow -> flow.slotsChanged(snapshot));
    }

    /** Returns the number of slots that would serve the demand, by pool. */
    public Map<PoolId, Integer> wantedSlots() {
        Map<PoolId, Integer> wanted = new HashMap<>();
        for (ServiceFlow flow : allFlows()) {
            wanted.merge(flow.config().pool(), flow.wantedSlots(), Integer::sum);
        }
        return wanted;
    }

    /** Returns the demand of each flow, without flows whose demand is negligible. */
    public List<PoolDemand> demand() {
        return allFlows().stream().map(ServiceFlow::demand).filter(FlowManager::hasDemand).toList();
    }

    /**
     * Returns the mean run time of a pool's requests: the highest of its services' means, or zero
     * if the pool has no service.
     */
    public Duration meanRunTime(PoolId pool) {
        double seconds = 0;
        for (ServiceFlow flow : allFlows()) {
            if (flow.config().pool().equals(pool)) {
                seconds = Math.max(seconds, flow.meanRunSeconds());
            }
        }
        return Duration.ofMillis((long) (seconds * TimeUnit.SECONDS.toMillis(1)));
    }

    /** Returns whether any flow has a queued or running request. */
    public boolean isBusy() {
        for (ServiceFlow flow : allFlows()) {
            if (flow.queued() + flow.running() > 0) {
                return true;
            }
        }
        return false;
    }

    /** Makes all flows refuse new requests from now on. */
    public void stop() {
        allFlows().forEach(ServiceFlow::stop);
    }

    private static boolean hasDemand(PoolDemand demand) {
        double slots = demand.offeredSlots() + demand.queuedSlots() + demand.runningSlots();
        return slots >= MIN_DEMAND_SLOTS;
    }

    private Collection<ServiceFlow> allFlows() {
        List<ServiceFlow> flows = new ArrayList<>(table.get().flows().values());
        flows.addAll(retiring);
        return flows;
    }
}
