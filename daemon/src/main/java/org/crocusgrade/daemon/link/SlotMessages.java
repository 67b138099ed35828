package org.crocusgrade.daemon.link;

import java.time.Duration;
import java.time.temporal.ChronoUnit;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.crocusgrade.core.fleet.SlotDemand;
import org.crocusgrade.core.fleet.SlotGrant;
import org.crocusgrade.core.fleet.WorkerSlots;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.peer.proto.AddedSlotsMessage;
import org.crocusgrade.peer.proto.Envelope;
import org.crocusgrade.peer.proto.PoolDemandMessage;
import org.crocusgrade.peer.proto.PoolShareMessage;
import org.crocusgrade.peer.proto.SlotDemandMessage;
import org.crocusgrade.peer.proto.SlotGrantMessage;
import org.crocusgrade.peer.proto.WorkerSlotsMessage;

/**
 * Converts slot messages to peer messages and back. Reading throws {@link IllegalArgumentException}
 * for a value that the type of its field rejects.
 */
public final class SlotMessages {
    private SlotMessages() {}

    /**
     * Writes a demand message; the receiver takes its sender and boot id from the connection's
     * {@code Greeting}.
     */
    public static Envelope write(SlotDemand demand) {
        SlotDemandMessage.Builder message =
                SlotDemandMessage.newBuilder()
                        .setZone(demand.zone().value())
                        .setSequence(demand.sequence())
                        .setOwnerBoot(demand.ownerBoot().value())
                        .setLastAnswer(demand.lastAnswer());
        for (SlotDemand.PoolDemand pool : demand.pools()) {
            message.addPools(
                    PoolDemandMessage.newBuilder()
                            .setPool(pool.pool().value())
                            .setWanted(pool.wanted()));
        }
        demand.held().forEach(each -> message.addHeld(write(each)));
        demand.running().forEach(each -> message.addRunning(write(each)));
        return Envelope.newBuilder().setSlotDemand(message).build();
    }

    /** Reads the demand message of a sender. */
    public static SlotDemand read(DaemonId from, BootId boot, SlotDemandMessage message) {
        return new SlotDemand(
                from,
                boot,
                new AvailabilityZone(message.getZone()),
                message.getSequence(),
                new BootId(message.getOwnerBoot()),
                message.getLastAnswer(),
                message.getPoolsList().stream()
                        .map(
                                each ->
                                        new SlotDemand.PoolDemand(
                                                new PoolId(each.getPool()), each.getWanted()))
                        .toList(),
                slots(message.getHeldList()),
                slots(message.getRunningList()));
    }

    /**
     * Writes a grant; the receiver takes its sender and boot id from the connection's {@code
     * Greeting}.
     */
    public static Envelope write(SlotGrant grant) {
        SlotGrantMessage.Builder message =
                SlotGrantMessage.newBuilder()
                        .setBorrowerBoot(grant.borrowerBoot().value())
                        .setAnswer(grant.answer())
                        .setReplyTo(grant.replyTo())
                        .setLeaseMicros(TimeUnit.NANOSECONDS.toMicros(grant.leaseTime().toNanos()))
                        .setRenews(grant.renews());
        for (SlotGrant.Added added : grant.added()) {
            message.addAdded(
                    AddedSlotsMessage.newBuilder()
                            .setPool(added.pool().value())
                            .setSlots(write(added.slots())));
        }
        grant.refused().forEach(each -> message.addRefused(write(each)));
        for (SlotGrant.PoolShare pool : grant.pools()) {
            message.addPools(
                    PoolShareMessage.newBuilder()
                            .setPool(pool.pool().value())
                            .setLimit(pool.limit())
                            .setFree(pool.free()));
        }
        grant.draining().forEach(each -> message.addDraining(each.value()));
        return Envelope.newBuilder().setSlotGrant(message).build();
    }

    /** Reads the grant of a sender. */
    public static SlotGrant read(DaemonId from, BootId boot, SlotGrantMessage message) {
        return new SlotGrant(
                from,
                boot,
                new BootId(message.getBorrowerBoot()),
                message.getAnswer(),
                message.getReplyTo(),
                Duration.of(message.getLeaseMicros(), ChronoUnit.MICROS),
                message.getRenews(),
                message.getAddedList().stream()
                        .map(
                                each ->
                                        new SlotGrant.Added(
                                                new PoolId(each.getPool()), read(each.getSlots())))
                        .toList(),
                slots(message.getRefusedList()),
                message.getPoolsList().stream()
                        .map(
                                each ->
                                        new SlotGrant.PoolShare(
                                                new PoolId(each.getPool()),
                                                each.getLimit(),
                                                each.getFree()))
                        .toList(),
                message.getDrainingList().stream().map(WorkerId::new).toList());
    }

    private static WorkerSlotsMessage write(WorkerSlots slots) {
        return WorkerSlotsMessage.newBuilder()
                .setWorker(slots.worker().value())
                .setMask(slots.mask())
                .build();
    }

    private static WorkerSlots read(WorkerSlotsMessage message) {
        return new WorkerSlots(new WorkerId(message.getWorker()), message.getMask());
    }

    private static List<WorkerSlots> slots(List<WorkerSlotsMessage> messages) {
        return messages.stream().map(SlotMessages::read).toList();
    }
}
