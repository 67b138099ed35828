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

/** Rules for changes of a rack's owner and of its workers' pools and states. */
public final class RackTransitions {
    private RackTransitions() {}

    /** Whether, and under which condition, a daemon may become the owner of a rack. */
    public enum TakeCondition {
        /** The current owner may still grant slots. */
        FORBIDDEN,
        /** No slots are leased: the last owner released the rack after all had been returned. */
        IMMEDIATE,
        /**
         * The previous owner's authority has ended, but slots that it granted may remain leased
         * until the longest slot lease has expired.
         */
        AFTER_LEASE_EXPIRY
    }

    /**
     * Returns whether a rack may be taken. A rack whose owner's authority record is missing must
     * not be: nothing shows that the owner's authority has ended.
     *
     * @param owner the authority record of the rack's owner, if there is one
     */
    public static TakeCondition takeCondition(RackRecord rack, Optional<AuthorityRecord> owner) {
        if (rack.owner().isEmpty()) {
            return TakeCondition.IMMEDIATE;
        }
        if (owner.isEmpty() || !owner.get().run().daemon().equals(rack.owner().get())) {
            return TakeCondition.FORBIDDEN;
        }
        boolean sameRun = rack.ownerBoot().equals(Optional.of(owner.get().run().boot()));
        return sameRun && !owner.get().isClosed()
                ? TakeCondition.FORBIDDEN
                : TakeCondition.AFTER_LEASE_EXPIRY;
    }

    /** Returns the rack record with the run as owner and the next epoch. */
    public static RackRecord taken(RackRecord rack, DaemonRun run) {
        return new RackRecord(
                rack.rack(),
                rack.zone(),
                Optional.of(run.daemon()),
                Optional.of(run.boot()),
                rack.epoch().next(),
                rack.workers());
    }

    /**
     * Returns the rack record without an owner and with the next epoch; see {@link #mayRelease}.
     */
    public static RackRecord released(RackRecord rack) {
        return new RackRecord(
                rack.rack(),
                rack.zone(),
                Optional.empty(),
                Optional.empty(),
                rack.epoch().next(),
                rack.workers());
    }

    /** Returns whether the record names exactly this run of the daemon as owner. */
    public static boolean isOwner(RackRecord rack, DaemonRun run) {
        return rack.owner().equals(Optional.of(run.daemon()))
                && rack.ownerBoot().equals(Optional.of(run.boot()));
    }

    /** Returns whether the worker's target pool differs from its current one. */
    public static boolean isMoving(WorkerRecord worker) {
        return !worker.pool().equals(worker.target());
    }

    /**
     * Returns whether a worker, of which no more slots are granted, may change to its target pool.
     *
     * @param overdue whether to stop waiting for orphaned work, that is, work left running by a
     *     daemon that has ended; such work then keeps its slots blocked in the new pool
     */
    public static boolean mayCommit(SlotTable.Outstanding out, boolean overdue) {
        return out.leased() == 0 && out.running() == 0 && (out.orphaned() == 0 || overdue);
    }

    /**
     * Returns whether the owner may release a rack: no slot is leased, so no work can start under
     * the old owner. Work that is already running continues.
     */
    public static boolean mayRelease(SlotTable.Outstanding out) {
        return out.leased() == 0;
    }

    /** Returns the rack record with one worker in another state. */
    public static RackRecord withState(RackRecord rack, WorkerId worker, WorkerState state) {
        List<WorkerRecord> workers = new ArrayList<>();
        for (WorkerRecord each : rack.workers()) {
            boolean matches = each.worker().equals(worker);
            WorkerState next = matches ? state : each.state();
            workers.add(new WorkerRecord(each.worker(), each.pool(), each.target(), next));
        }
        return new RackRecord(
                rack.rack(), rack.zone(), rack.owner(), rack.ownerBoot(), rack.epoch(), workers);
    }

    /** Returns the rack record with one worker moved to its target pool. */
    public static RackRecord committed(RackRecord rack, WorkerId worker) {
        List<WorkerRecord> workers = new ArrayList<>();
        for (WorkerRecord each : rack.workers()) {
            boolean matches = each.worker().equals(worker);
            PoolId pool = matches ? each.target() : each.pool();
            workers.add(new WorkerRecord(each.worker(), pool, each.target(), each.state()));
        }
        return new RackRecord(
                rack.rack(), rack.zone(), rack.owner(), rack.ownerBoot(), rack.epoch(), workers);
    }
}
