package org.crocusgrade.daemon.owner;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.BiConsumer;
import org.crocusgrade.core.fleet.RackRecord;
import org.crocusgrade.core.fleet.SlotDemand;
import org.crocusgrade.core.fleet.SlotGrant;
import org.crocusgrade.core.fleet.SlotPool;
import org.crocusgrade.core.fleet.SlotPool.Placement;
import org.crocusgrade.core.fleet.SlotTable;
import org.crocusgrade.core.fleet.WorkerRecord;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.HostEntry;
import org.crocusgrade.daemon.control.FleetSnapshot;
import org.crocusgrade.daemon.link.PeerInbox;
import org.crocusgrade.daemon.link.SlotMessages;
import org.crocusgrade.peer.proto.Envelope;
import org.crocusgrade.peer.proto.Envelope.BodyCase;

/**
 * Exchanges slot messages between the borrower and owner sides of this daemon and other daemons.
 * Runs on the control thread.
 */
public final class SlotExchange {
    private final DaemonId self;
    private final SlotPool pool;
    private final SlotTable table;
    private final Clock clock;
    private final BiConsumer<DaemonId, Envelope> sender;
    private final Runnable slotsChanged;

    /**
     * Creates an exchange.
     *
     * @param sender sends a message to another daemon
     * @param slotsChanged called when the slots that can be acquired have changed
     */
    public SlotExchange(
            DaemonId self,
            SlotPool pool,
            SlotTable table,
            Clock clock,
            BiConsumer<DaemonId, Envelope> sender,
            Runnable slotsChanged) {
        this.self = Objects.requireNonNull(self);
        this.pool = Objects.requireNonNull(pool);
        this.table = Objects.requireNonNull(table);
        this.clock = Objects.requireNonNull(clock);
        this.sender = Objects.requireNonNull(sender);
        this.slotsChanged = Objects.requireNonNull(slotsChanged);
    }

    /** Registers handlers for the slot messages of other daemons. */
    public void register(PeerInbox inbox) {
        inbox.on(
                        BodyCase.SLOT_DEMAND,
                        (from, boot, m) ->
                                onDemand(SlotMessages.read(from, boot, m.getSlotDemand())))
                .on(
                        BodyCase.SLOT_GRANT,
                        (from, boot, m) ->
                                onGrant(SlotMessages.read(from, boot, m.getSlotGrant())));
    }

    /** Updates the borrower's workers and their owners from a new snapshot. */
    public void fleetChanged(FleetSnapshot fleet) {
        List<Placement> placements = new ArrayList<>();
        for (FleetSnapshot.VersionedRack rack : fleet.racks().values()) {
            RackRecord record = rack.record();
            if (record.owner().isEmpty()) {
                continue;
            }
            for (WorkerRecord worker : record.workers()) {
                fleet.host(worker.worker())
                        .map(host -> placement(record, worker, host))
                        .ifPresent(placements::add);
            }
        }
        pool.setWorkers(placements);
        slotsChanged.run();
    }

    private static Placement placement(RackRecord rack, WorkerRecord worker, HostEntry host) {
        return new Placement(
                worker.worker(),
                rack.zone(),
                worker.pool(),
                rack.owner().orElseThrow(),
                host.slots(),
                host.connections());
    }

    /**
     * Sets the number of slots wanted of each pool, and sends the grants and demand messages that
     * are due.
     */
    public void tick(Map<PoolId, Integer> wantedSlots) {
        long now = clock.nanoTime();
        wantedSlots.forEach(pool::setWanted);
        send(table.tick(now));
        for (SlotPool.Outgoing outgoing : pool.tick(now)) {
            if (outgoing.to().equals(self)) {
                onDemand(outgoing.demand());
            } else {
                sender.accept(outgoing.to(), SlotMessages.write(outgoing.demand()));
            }
        }
    }

    /** Handles a demand message of a borrower. */
    public void onDemand(SlotDemand demand) {
        send(table.onDemand(demand, clock.nanoTime()));
    }

    /** Handles a grant of an owner. */
    public void onGrant(SlotGrant grant) {
        pool.onGrant(grant, clock.nanoTime());
        slotsChanged.run();
    }

    /** Sends grants of the owner side; those to this daemon itself are handled directly. */
    public void send(List<SlotTable.Outgoing> messages) {
        for (SlotTable.Outgoing outgoing : messages) {
            if (outgoing.to().equals(self)) {
                onGrant(outgoing.grant());
            } else {
                sender.accept(outgoing.to(), SlotMessages.write(outgoing.grant()));
            }
        }
    }
}
