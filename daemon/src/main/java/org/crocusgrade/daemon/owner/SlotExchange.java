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
 * Moves slot messages between this daemon's two sides, borrower and owner, and the other daemons.
 * Everything here runs on the control thread.
 */
public final class SlotExchange {
    private final DaemonId self;
    private final SlotPool pool;
    private final SlotTable table;
    private final Clock clock;
    private final BiConsumer<DaemonId, Envelope> sender;
    private final Runnable slotsChanged;

    /**
     * Makes an exchange.
     *
     * @param sender sends a message to another daemon
     * @param slotsChanged called when what can be acquired changed
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

    /** Registers what this part takes of the other daemons' messages. */
    public void register(PeerInbox inbox) {
        inbox.on(
                        BodyCase.SLOT_DEMAND,
                        (from, run, m) -> onDemand(SlotMessages.read(from, run, m.getSlotDemand())))
                .on(
                        BodyCase.SLOT_GRANT,
                        (from, run, m) -> onGrant(SlotMessages.read(from, run, m.getSlotGrant())));
    }

    /** Takes the workers with their owners from a new snapshot. */
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

    /** Sets the demand and sends what is due. */
    public void tick(Map<PoolId, Integer> wanted) {
        long now = clock.nanoTime();
        wanted.forEach(pool::setWanted);
        send(table.tick(now));
        for (SlotPool.Outgoing each : pool.tick(now)) {
            if (each.to().equals(self)) {
                onDemand(each.demand());
            } else {
                sender.accept(each.to(), SlotMessages.write(each.demand()));
            }
        }
    }

    /** Takes a borrower's statement. */
    public void onDemand(SlotDemand demand) {
        send(table.onDemand(demand, clock.nanoTime()));
    }

    /** Takes an owner's answer. */
    public void onGrant(SlotGrant grant) {
        pool.onGrant(grant, clock.nanoTime());
        slotsChanged.run();
    }

    /** Sends what the owner's side has decided. */
    public void send(List<SlotTable.Outgoing> messages) {
        for (SlotTable.Outgoing each : messages) {
            if (each.to().equals(self)) {
                onGrant(each.grant());
            } else {
                sender.accept(each.to(), SlotMessages.write(each.grant()));
            }
        }
    }
}
