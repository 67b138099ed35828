package org.crocusgrade.core.fleet.plan;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.crocusgrade.core.fleet.plan.DemandReport.PoolDemand;
import org.crocusgrade.core.fleet.plan.DemandReport.WorkerRuns;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;

/** The latest report of each daemon, summed for the planner. Not safe for several threads. */
public final class DemandAggregator {
    private final Duration fresh;
    private final Map<DaemonId, Heard> reports = new HashMap<>();

    /**
     * Makes an empty board.
     *
     * @param fresh how long a report counts
     */
    public DemandAggregator(Duration fresh) {
        this.fresh = fresh;
    }

    /** Takes a report in place of the daemon's last one. */
    public void heard(DemandReport report, Instant now) {
        reports.put(report.from(), new Heard(report, now));
    }

    /** Forgets daemons that are no members any more. */
    public void retain(Set<DaemonId> members) {
        reports.keySet().retainAll(members);
    }

    /** Returns a pool's demand over the daemons heard lately, if there are any. */
    public Optional<DemandDigest> digest(PoolId pool, int members, Instant now) {
        List<DemandReport> all = recent(now);
        if (all.isEmpty()) {
            return Optional.empty();
        }
        Instant at = oldest(now);
        double offered = 0;
        double queued = 0;
        double running = 0;
        for (DemandReport report : all) {
            for (PoolDemand each : report.pools()) {
                if (each.pool().equals(pool)) {
                    offered += each.offeredSlots();
                    queued += each.queuedSlots();
                    running += each.runningSlots();
                }
            }
        }
        double coverage = Math.min(1, all.size() / (double) Math.max(1, members));
        return Optional.of(new DemandDigest(at, offered, queued, running, coverage));
    }

    /** Returns what runs on each worker, by the daemons heard lately. */
    public Map<WorkerId, WorkerRuns> runs(Instant now) {
        Map<WorkerId, WorkerRuns> runs = new HashMap<>();
        for (DemandReport report : recent(now)) {
            for (WorkerRuns each : report.workers()) {
                runs.merge(each.worker(), each, DemandAggregator::sum);
            }
        }
        return runs;
    }

    private static WorkerRuns sum(WorkerRuns a, WorkerRuns b) {
        boolean longer = a.drainTime().compareTo(b.drainTime()) > 0;
        return new WorkerRuns(
                a.worker(), a.running() + b.running(), longer ? a.drainTime() : b.drainTime());
    }

    private Instant oldest(Instant now) {
        Instant oldest = now;
        for (Heard each : reports.values()) {
            boolean counts = Duration.between(each.at, now).compareTo(fresh) <= 0;
            if (counts && each.at.isBefore(oldest)) {
                oldest = each.at;
            }
        }
        return oldest;
    }

    private List<DemandReport> recent(Instant now) {
        List<DemandReport> recent = new ArrayList<>();
        for (Heard each : reports.values()) {
            if (Duration.between(each.at, now).compareTo(fresh) <= 0) {
                recent.add(each.report);
            }
        }
        return recent;
    }

    private record Heard(DemandReport report, Instant at) {}
}
