package org.crocusgrade.core.member;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.crocusgrade.core.fleet.RackRecord;
import org.crocusgrade.core.fleet.SlotTable;
import org.crocusgrade.core.fleet.WorkerRecord;
import org.crocusgrade.core.fleet.WorkerState;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;

/** Who may take a rack, and when a worker's pool may change. */
public final class RackTransitions {
    private RackTransitions() {}

    /** Whether a rack may be taken. */
    public enum Take {
        /** Its owner may still grant slots. */
        NO,
        /** Nobody has slots out: the owner gave the rack up after the last came back. */
        AT_ONCE,
        /** Its owner's right has ended; slots may be out until the longest lease has run out. */
        AFTER_LEASES
    }

    /**
     * Returns whether a rack may be taken.
     *
     * @param owner the authority record of the rack's owner, if there is one
     */
    public static Take take(RackRecord rack, Optional<AuthorityRecord> owner) {
        if (rack.owner().isEmpty()) {
            return Take.AT_ONCE;
        }
        if (owner.isEmpty() || !owner.get().run().daemon().equals(rack.owner().get())) {
            return Take.NO;
        }
        boolean sameRun = rack.ownerBoot().equals(Optional.of(owner.get().run().boot()));
        return sameRun && !owner.get().isClosed() ? Take.NO : Take.AFTER_LEASES;
    }

    /** Returns the record in which a run takes the rack. */
    public static RackRecord taken(RackRecord rack, DaemonRun run) {
        return new RackRecord(
                rack.rack(),
                rack.zone(),
                Optional.of(run.daemon()),
                Optional.of(run.boot()),
                rack.epoch().next(),
                rack.workers());
    }

    /** Returns the record in which its owner gives the rack up, once no lease is out. */
    public static RackRecord givenUp(RackRecord rack) {
        return new RackRecord(
                rack.rack(),
                rack.zone(),
                Optional.empty(),
                Optional.empty(),
                rack.epoch().next(),
                rack.workers());
    }

    /** Returns whether the record names the run as owner. */
    public static boolean isOwner(RackRecord rack, DaemonRun run) {
        return rack.owner().equals(Optional.of(run.daemon()))
                && rack.ownerBoot().equals(Optional.of(run.boot()));
    }

    /** Returns whether a worker is to leave its pool. */
    public static boolean isMoving(WorkerRecord worker) {
        return !worker.pool().equals(worker.target());
    }

    /**
     * Returns whether a worker that gets no more leases may change pool.
     *
     * @param overdue whether work that a gone daemon left running is no longer waited for; it then
     *     keeps its slots blocked in the new pool
     */
    public static boolean mayCommit(SlotTable.Outstanding out, boolean overdue) {
        return out.leased() == 0 && out.running() == 0 && (out.orphaned() == 0 || overdue);
    }

    /** Returns whether a rack's owner may give it up: running work goes on, none can start. */
    public static boolean mayGiveUp(SlotTable.Outstanding out) {
        return out.leased() == 0;
    }

    /** Returns the record in which a worker has another state. */
    public static RackRecord withState(RackRecord rack, WorkerId worker, WorkerState state) {
        List<WorkerRecord> workers = new ArrayList<>();
        for (WorkerRecord each : rack.workers()) {
            boolean meant = each.worker().equals(worker);
            WorkerState next = meant ? state : each.state();
            workers.add(new WorkerRecord(each.worker(), each.pool(), each.target(), next));
        }
        return new RackRecord(
                rack.rack(), rack.zone(), rack.owner(), rack.ownerBoot(), rack.epoch(), workers);
    }

    /** Returns the record in which a worker has reached its target pool. */
    public static RackRecord committed(RackRecord rack, WorkerId worker) {
        List<WorkerRecord> workers = new ArrayList<>();
        for (WorkerRecord each : rack.workers()) {
            boolean moved = each.worker().equals(worker);
            PoolId pool = moved ? each.target() : each.pool();
            workers.add(new WorkerRecord(each.worker(), pool, each.target(), each.state()));
        }
        return new RackRecord(
                rack.rack(), rack.zone(), rack.owner(), rack.ownerBoot(), rack.epoch(), workers);
    }
}
