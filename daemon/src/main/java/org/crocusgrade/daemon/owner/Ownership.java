package org.crocusgrade.daemon.owner;

import io.smallrye.mutiny.Uni;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BiConsumer;
import org.crocusgrade.core.fleet.SlotTable;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.Region;
import org.crocusgrade.core.member.DaemonRun;
import org.crocusgrade.core.member.MemberTimes;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.core.port.LeaseId;
import org.crocusgrade.daemon.control.FleetSnapshot;
import org.crocusgrade.daemon.control.FleetWatcher;
import org.crocusgrade.daemon.control.MemberSession;
import org.crocusgrade.peer.proto.Envelope;

/**
 * The parts that decide what this daemon may own: its own right, its word as a witness, take-overs
 * of others, and renewals for each other. On the control thread.
 */
public final class Ownership {
    private final WitnessDesk desk;
    private final AuthorityKeeper authority;
    private final TakeOverKeeper takeOvers;
    private final LeaseRelay relay;
    private final GoneBorrowers gone = new GoneBorrowers();
    private final FleetWatcher fleet;
    private final SlotExchange exchange;
    private final SlotTable table;
    private final Clock clock;

    /** Makes the parts; {@link #start} starts them. */
    public Ownership(
            DaemonRun process,
            Region region,
            KeyValueStore store,
            FleetWatcher fleet,
            SlotExchange exchange,
            SlotTable table,
            Clock clock,
            ScheduledExecutorService control,
            BiConsumer<DaemonId, Envelope> sender) {
        MemberTimes times = MemberTimes.DEFAULT;
        this.fleet = fleet;
        this.exchange = exchange;
        this.table = table;
        this.clock = clock;
        desk = new WitnessDesk(times, clock, sender);
        authority =
                new AuthorityKeeper(
                        process,
                        region,
                        times,
                        store,
                        clock,
                        control,
                        fleet::snapshot,
                        desk,
                        sender);
        takeOvers = new TakeOverKeeper(process, times, store, desk, sender, control);
        relay = new LeaseRelay(process.daemon(), store, fleet::snapshot, control, sender);
    }

    /** Returns this daemon's right. */
    public AuthorityKeeper authority() {
        return authority;
    }

    /** Returns the take-overs. */
    public TakeOverKeeper takeOvers() {
        return takeOvers;
    }

    /** Renews a lease through other daemons. */
    public Uni<Void> renew(LeaseId lease) {
        return relay.renew(lease);
    }

    /** Starts to watch. */
    public void start() {
        takeOvers.start();
    }

    /** Ends the watch. */
    public void stop() {
        takeOvers.stop();
    }

    /** Does what is due. */
    public void tick(MemberSession session) {
        long now = clock.nanoTime();
        boolean reachesStore = session.valid().isPresent();
        FleetSnapshot snapshot = fleet.snapshot();
        desk.tick();
        authority.tick(now);
        takeOvers.tick(snapshot, reachesStore, now);
        for (DaemonRun run : gone.find(snapshot.members(), reachesStore, now)) {
            exchange.send(table.onBorrowerGone(run.daemon(), run.boot(), now));
        }
    }

    /** Takes a message of ownership; returns whether it was one. */
    public boolean onMessage(DaemonId from, BootId sender, Envelope message) {
        switch (message.getBodyCase()) {
            case PROMISE_REQUEST -> desk.onPromiseRequest(from, message.getPromiseRequest());
            case PROMISE_REPLY -> authority.onPromiseReply(from, sender, message.getPromiseReply());
            case FENCE_REQUEST -> desk.onFenceRequest(from, message.getFenceRequest());
            case FENCE_REPLY -> takeOvers.onFenceReply(from, sender, message.getFenceReply());
            case RENEWAL_REQUEST -> relay.onRequest(from, message.getRenewalRequest());
            case RENEWAL_REPLY -> relay.onReply(message.getRenewalReply());
            default -> {
                return false;
            }
        }
        return true;
    }
}
