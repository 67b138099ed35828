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

/**
 * Keeps the latest demand report of each daemon and sums the recent ones for the planner. Not
 * thread-safe.
 */
public final class DemandAggregator {
    private final Duration maxAge;
    private final Map<DaemonId, ReceivedReport> reports = new HashMap<>();

    /**
     * Creates an aggregator without reports.
     *
     * @param maxAge how long after its receipt a report is included in the sums
     */
    public DemandAggregator(Duration maxAge) {
        this.maxAge = maxAge;
    }

    /** Replaces the daemon's previous report. */
    public void accept(DemandReport report, Instant now) {
        reports.put(report.from(), new ReceivedReport(report, now));
    }

    /** Drops the reports of daemons that are no longer members. */
    public void retain(Set<DaemonId> members) {
        reports.keySet().retainAll(members);
    }

    /**
     * Returns a pool's demand summed over the recent reports, or empty if there is none. It is
     * dated at the receipt of the oldest recent report; its coverage is the share of the members
     * with a recent report.
     */
    public Optional<DemandDigest> digest(PoolId pool, int members, Instant now) {
        List<DemandReport> all = recentReports(now);
        if (all.isEmpty()) {
            return Optional.empty();
        }
        Instant at = oldestReportTime(now);
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

    /**
     * Returns the running requests of each worker, summed over the recent reports, with the longest
     * drain time that any of them gives.
     */
    public Map<WorkerId, WorkerRuns> runs(Instant now) {
        Map<WorkerId, WorkerRuns> runs = new HashMap<>();
        for (DemandReport report : recentReports(now)) {
            for (WorkerRuns each : report.workers()) {
                runs.merge(each.worker(), each, DemandAggregator::combine);
            }
        }
        return runs;
    }

    private static WorkerRuns combine(WorkerRuns a, WorkerRuns b) {
        boolean longer = a.drainTime().compareTo(b.drainTime()) > 0;
        return new WorkerRuns(
                a.worker(), a.running() + b.running(), longer ? a.drainTime() : b.drainTime());
    }

    private Instant oldestReportTime(Instant now) {
        Instant oldest = now;
        for (ReceivedReport each : reports.values()) {
            boolean isRecent = Duration.between(each.at, now).compareTo(maxAge) <= 0;
            if (isRecent && each.at.isBefore(oldest)) {
                oldest = each.at;
            }
        }
        return oldest;
    }

    private List<DemandReport> recentReports(Instant now) {
        List<DemandReport> recent = new ArrayList<>();
        for (ReceivedReport each : reports.values()) {
            if (Duration.between(each.at, now).compareTo(maxAge) <= 0) {
                recent.add(each.report);
            }
        }
        return recent;
    }

    private record ReceivedReport(DemandReport report, Instant at) {}
}
