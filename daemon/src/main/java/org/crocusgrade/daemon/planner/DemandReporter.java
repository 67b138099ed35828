package org.crocusgrade.daemon.planner;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.crocusgrade.core.fleet.SlotPool;
import org.crocusgrade.core.fleet.plan.DemandReport;
import org.crocusgrade.core.fleet.plan.DemandReport.WorkerRuns;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.daemon.control.FleetSnapshot;
import org.crocusgrade.daemon.edge.FlowManager;

/** Creates the demand reports of this daemon. */
public final class DemandReporter {
    private DemandReporter() {}

    /**
     * Returns the current demand of the flows, and for each worker the number of this daemon's
     * running requests, with the mean run time of its pool as the time to drain.
     */
    public static DemandReport report(
            DaemonId self, SlotPool slots, FlowManager flows, FleetSnapshot fleet) {
        List<WorkerRuns> runs = new ArrayList<>();
        slots.running()
                .forEach(
                        (worker, running) ->
                                runs.add(
                                        new WorkerRuns(
                                                worker, running, drainTime(worker, flows, fleet))));
        return new DemandReport(self, flows.demand(), runs);
    }

    private static Duration drainTime(WorkerId worker, FlowManager flows, FleetSnapshot fleet) {
        return fleet.poolOf(worker).map(flows::meanRunTime).orElse(Duration.ZERO);
    }
}
