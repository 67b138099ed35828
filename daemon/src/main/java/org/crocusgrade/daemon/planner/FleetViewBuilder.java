package org.crocusgrade.daemon.planner;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.crocusgrade.core.config.FleetConfig;
import org.crocusgrade.core.config.ServiceConfig;
import org.crocusgrade.core.fleet.RackRecord;
import org.crocusgrade.core.fleet.WorkerRecord;
import org.crocusgrade.core.fleet.plan.DemandAggregator;
import org.crocusgrade.core.fleet.plan.DemandReport.WorkerRuns;
import org.crocusgrade.core.fleet.plan.FleetView;
import org.crocusgrade.core.fleet.plan.PlanWeights;
import org.crocusgrade.core.fleet.plan.PoolView;
import org.crocusgrade.core.fleet.plan.WorkerView;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.HostEntry;
import org.crocusgrade.daemon.control.FleetSnapshot;

/**
 * Builds the planner's view of the fleet from the snapshot, the configuration and the demand
 * reports.
 */
final class FleetViewBuilder {
    private final Map<WorkerId, TargetSince> targets = new HashMap<>();

    /** Builds a view; workers that are not in the host list are left out. */
    FleetView build(
            FleetSnapshot fleet,
            FleetConfig config,
            DemandAggregator aggregator,
            PlanWeights weights,
            Instant now) {
        Map<WorkerId, WorkerRuns> runs = aggregator.runs(now);
        List<WorkerView> workers = new ArrayList<>();
        for (FleetSnapshot.VersionedRack rack : fleet.racks().values()) {
            for (WorkerRecord worker : rack.record().workers()) {
                Optional<HostEntry> host = fleet.host(worker.worker());
                WorkerRuns run =
                        runs.getOrDefault(
                                worker.worker(), new WorkerRuns(worker.worker(), 0, Duration.ZERO));
                host.map(entry -> view(rack.record(), worker, entry, run, now))
                        .ifPresent(workers::add);
            }
        }
        List<PoolView> pools = new ArrayList<>();
        int members = fleet.members().size();
        for (ServiceConfig service : config.services().values()) {
            pools.add(PoolView.of(service, aggregator.digest(service.pool(), members, now)));
        }
        return new FleetView(now, workers, pools, weights);
    }

    private WorkerView view(
            RackRecord rack, WorkerRecord worker, HostEntry host, WorkerRuns run, Instant now) {
        return new WorkerView(
                worker.worker(),
                rack.rack(),
                rack.zone(),
                worker.pool(),
                worker.target(),
                worker.state(),
                host.state(),
                host.slots(),
                run.running(),
                run.drainTime(),
                lastMove(worker, now));
    }

    private Instant lastMove(WorkerRecord worker, Instant now) {
        TargetSince previous = targets.get(worker.worker());
        if (previous == null) {
            targets.put(worker.worker(), new TargetSince(worker.target(), now));
            return now;
        }
        if (!previous.pool.equals(worker.target())) {
            targets.put(worker.worker(), new TargetSince(worker.target(), now));
            return now;
        }
        return previous.since;
    }

    private record TargetSince(PoolId pool, Instant since) {}
}
