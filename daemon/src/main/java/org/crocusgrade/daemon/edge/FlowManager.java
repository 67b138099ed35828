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
 * The flows of all services. A new configuration replaces the table whole; a flow whose pool
 * changed takes no new requests but goes on until its last one is answered. All methods but {@link
 * #table}, {@link #isBusy} and {@link #stop} run on the control thread.
 */
public final class FlowManager {
    private static final double LEAST_SLOTS = 0.001;

    private final ServiceFlow.Parts parts;
    private final Supplier<Executor> executors;
    private final AtomicReference<FlowTable> table = new AtomicReference<>(FlowTable.EMPTY);
    private final List<ServiceFlow> retiring = new CopyOnWriteArrayList<>();

    /**
     * Makes a manager without flows.
     *
     * @param executors gives the executor of the next flow
     */
    public FlowManager(ServiceFlow.Parts parts, Supplier<Executor> executors) {
        this.parts = parts;
        this.executors = executors;
    }

    /** Returns the reference to the flows in force. */
    public AtomicReference<FlowTable> table() {
        return table;
    }

    /** Puts a configuration in force; the flows of services that keep their pool stay. */
    public void apply(FleetConfig config, int daemons) {
        Map<ServiceId, ServiceFlow> before = table.get().flows();
        Map<ServiceId, ServiceFlow> next = new HashMap<>();
        for (ServiceConfig service : config.services().values()) {
            ServiceFlow old = before.get(service.service());
            boolean stays = old != null && old.config().pool().equals(service.pool());
            if (stays && !old.config().equals(service)) {
                old.configure(service);
            }
            next.put(
                    service.service(),
                    stays ? old : new ServiceFlow(service, parts, executors.get(), daemons));
        }
        table.set(new FlowTable(next));
        for (ServiceFlow old : before.values()) {
            if (next.get(old.config().service()) != old) {
                retiring.add(old);
            }
        }
    }

    /** Does what is due by time in each flow. */
    public void tick() {
        retiring.removeIf(flow -> flow.queued() + flow.running() == 0);
        all().forEach(ServiceFlow::tick);
    }

    /** Tells each flow what slots it may use. */
    public void slotsChanged(FleetSnapshot snapshot) {
        all().forEach(flow -> flow.slotsChanged(snapshot));
    }

    /** Returns the slots that each pool's demand would use. */
    public Map<PoolId, Integer> wanted() {
        Map<PoolId, Integer> wanted = new HashMap<>();
        for (ServiceFlow flow : all()) {
            wanted.merge(flow.config().pool(), flow.wantedSlots(), Integer::sum);
        }
        return wanted;
    }

    /** Returns the demand of each flow that has any. */
    public List<PoolDemand> demand() {
        return all().stream().map(ServiceFlow::demand).filter(FlowManager::isAny).toList();
    }

    /** Returns the mean run time of a pool's requests. */
    public Duration meanRunTime(PoolId pool) {
        double seconds = 0;
        for (ServiceFlow flow : all()) {
            if (flow.config().pool().equals(pool)) {
                seconds = Math.max(seconds, flow.meanRunSeconds());
            }
        }
        return Duration.ofMillis((long) (seconds * TimeUnit.SECONDS.toMillis(1)));
    }

    /** Returns whether any request waits or runs. */
    public boolean isBusy() {
        for (ServiceFlow flow : all()) {
            if (flow.queued() + flow.running() > 0) {
                return true;
            }
        }
        return false;
    }

    /** Refuses new requests from now on. */
    public void stop() {
        all().forEach(ServiceFlow::stop);
    }

    private static boolean isAny(PoolDemand demand) {
        double slots = demand.offeredSlots() + demand.queuedSlots() + demand.runningSlots();
        return slots >= LEAST_SLOTS;
    }

    private Collection<ServiceFlow> all() {
        List<ServiceFlow> flows = new ArrayList<>(table.get().flows().values());
        flows.addAll(retiring);
        return flows;
    }
}
