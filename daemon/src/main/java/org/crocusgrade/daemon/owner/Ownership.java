package org.crocusgrade.daemon.owner;

import io.smallrye.mutiny.Uni;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BiConsumer;
import org.crocusgrade.core.fleet.SlotTable;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.Region;
import org.crocusgrade.core.member.DaemonRun;
import org.crocusgrade.core.member.OwnershipTimeouts;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.core.port.LeaseId;
import org.crocusgrade.daemon.control.FleetSnapshot;
import org.crocusgrade.daemon.control.FleetWatcher;
import org.crocusgrade.daemon.control.MemberSession;
import org.crocusgrade.daemon.link.PeerInbox;
import org.crocusgrade.peer.proto.Envelope;
import org.crocusgrade.peer.proto.Envelope.BodyCase;

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
        OwnershipTimeouts times = OwnershipTimeouts.DEFAULT;
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

    /** Registers what this part takes of the other daemons' messages. */
    public void register(PeerInbox inbox) {
        inbox.on(
                        BodyCase.PROMISE_REQUEST,
                        (from, run, m) -> desk.onPromiseRequest(from, m.getPromiseRequest()))
                .on(
                        BodyCase.PROMISE_REPLY,
                        (from, run, m) -> authority.onPromiseReply(from, run, m.getPromiseReply()))
                .on(
                        BodyCase.FENCE_REQUEST,
                        (from, run, m) -> desk.onFenceRequest(from, m.getFenceRequest()))
                .on(
                        BodyCase.FENCE_REPLY,
                        (from, run, m) -> takeOvers.onFenceReply(from, run, m.getFenceReply()))
                .on(
                        BodyCase.RENEWAL_REQUEST,
                        (from, run, m) -> relay.onRequest(from, m.getRenewalRequest()))
                .on(BodyCase.RENEWAL_REPLY, (from, run, m) -> relay.onReply(m.getRenewalReply()));
    }
}
