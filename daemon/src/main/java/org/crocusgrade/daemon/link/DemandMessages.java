package org.crocusgrade.daemon.link;

import java.time.Duration;
import org.crocusgrade.core.fleet.plan.DemandReport;
import org.crocusgrade.core.fleet.plan.DemandReport.PoolDemand;
import org.crocusgrade.core.fleet.plan.DemandReport.WorkerRuns;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.peer.proto.DemandReportMessage;
import org.crocusgrade.peer.proto.Envelope;
import org.crocusgrade.peer.proto.PoolReportMessage;
import org.crocusgrade.peer.proto.WorkerReportMessage;

/** Converts demand reports to peer messages and back. */
public final class DemandMessages {
    private static final double THOUSAND = 1000;

    private DemandMessages() {}

    /** Writes a report; the receiver takes its sender from the connection's {@code Greeting}. */
    public static Envelope write(DemandReport report) {
        DemandReportMessage.Builder message = DemandReportMessage.newBuilder();
        for (PoolDemand each : report.pools()) {
            message.addPools(
                    PoolReportMessage.newBuilder()
                            .setPool(each.pool().value())
                            .setOfferedMilliSlots(thousandths(each.offeredSlots()))
                            .setQueuedSlotMillis(thousandths(each.queuedSlots()))
                            .setRunning((int) each.runningSlots()));
        }
        for (WorkerRuns each : report.workers()) {
            message.addWorkers(
                    WorkerReportMessage.newBuilder()
                            .setWorker(each.worker().value())
                            .setRunning(each.running())
                            .setDrainMillis((int) each.drainTime().toMillis()));
        }
        return Envelope.newBuilder().setDemandReport(message).build();
    }

    /** Reads the report of a sender. */
    public static DemandReport read(DaemonId from, DemandReportMessage message) {
        return new DemandReport(
                from,
                message.getPoolsList().stream().map(DemandMessages::read).toList(),
                message.getWorkersList().stream().map(DemandMessages::read).toList());
    }

    private static PoolDemand read(PoolReportMessage message) {
        return new PoolDemand(
                new PoolId(message.getPool()),
                message.getOfferedMilliSlots() / THOUSAND,
                message.getQueuedSlotMillis() / THOUSAND,
                message.getRunning());
    }

    private static WorkerRuns read(WorkerReportMessage message) {
        return new WorkerRuns(
                new WorkerId(message.getWorker()),
                message.getRunning(),
                Duration.ofMillis(message.getDrainMillis()));
    }

    private static int thousandths(double value) {
        return (int) Math.min(Integer.MAX_VALUE, Math.ceil(value * THOUSAND));
    }
}
