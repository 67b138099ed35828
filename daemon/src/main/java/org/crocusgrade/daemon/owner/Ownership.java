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
import org.crocusgrade.daemon.link.PendingCalls;
import org.crocusgrade.peer.proto.Envelope;
import org.crocusgrade.peer.proto.Envelope.BodyCase;
import org.crocusgrade.peer.proto.RenewalReplyMessage;

/**
 * The components that determine which racks this daemon may own: its authority, its service as a
 * witness, take-overs from other daemons, and lease renewals through peers. Runs on the control
 * thread.
 */
public final class Ownership {
    private final WitnessService witnessService;
    private final AuthorityManager authority;
    private final TakeOverManager takeOvers;
    private final LeaseRelay relay;
    private final AbsentDaemonDetector absentDaemons = new AbsentDaemonDetector();
    private final FleetWatcher fleet;
    private final SlotExchange exchange;
    private final SlotTable table;
    private final Clock clock;

    /** Creates the components; {@link #start} starts them. */
    public Ownership(
            DaemonRun process,
            Region region,
            KeyValueStore store,
            FleetWatcher fleet,
            SlotExchange exchange,
            SlotTable table,
            Clock clock,
            ScheduledExecutorService control,
            PendingCalls<RenewalReplyMessage.Outcome> renewals,
            BiConsumer<DaemonId, Envelope> sender) {
        OwnershipTimeouts timeouts = OwnershipTimeouts.DEFAULT;
        this.fleet = fleet;
        this.exchange = exchange;
        this.table = table;
        this.clock = clock;
        witnessService = new WitnessService(timeouts, clock, sender);
        authority =
                new AuthorityManager(
                        process,
                        region,
                        timeouts,
                        store,
                        clock,
                        control,
                        fleet::snapshot,
                        witnessService,
                        sender);
        takeOvers = new TakeOverManager(process, timeouts, store, witnessService, sender, control);
        relay = new LeaseRelay(process.daemon(), store, fleet::snapshot, renewals, sender);
    }

    /** Returns the manager of this daemon's authority. */
    public AuthorityManager authority() {
        return authority;
    }

    /** Returns the manager of take-overs. */
    public TakeOverManager takeOvers() {
        return takeOvers;
    }

    /** Renews a lease through other daemons. */
    public Uni<Void> renew(LeaseId lease) {
        return relay.renew(lease);
    }

    /** Starts to watch the authority records. */
    public void start() {
        takeOvers.start();
    }

    /** Stops watching the authority records. */
    public void stop() {
        takeOvers.stop();
    }

    /**
     * Runs the periodic work of all components, and reclaims slots lent to processes that have
     * ended.
     */
    public void tick(MemberSession session) {
        long now = clock.nanoTime();
        boolean reachesStore = session.valid().isPresent();
        FleetSnapshot snapshot = fleet.snapshot();
        witnessService.tick();
        authority.tick(now);
        takeOvers.tick(snapshot, reachesStore, now);
        for (DaemonRun process : absentDaemons.find(snapshot.members(), reachesStore, now)) {
            exchange.send(table.onBorrowerEnded(process.daemon(), process.boot(), now));
        }
    }

    /** Registers handlers for the ownership messages of other daemons. */
    public void register(PeerInbox inbox) {
        inbox.on(
                        BodyCase.PROMISE_REQUEST,
                        (from, boot, m) ->
                                witnessService.onPromiseRequest(from, m.getPromiseRequest()))
                .on(
                        BodyCase.PROMISE_REPLY,
                        (from, boot, m) ->
                                authority.onPromiseReply(from, boot, m.getPromiseReply()))
                .on(
                        BodyCase.FENCE_REQUEST,
                        (from, boot, m) -> witnessService.onFenceRequest(from, m.getFenceRequest()))
                .on(
                        BodyCase.FENCE_REPLY,
                        (from, boot, m) -> takeOvers.onFenceReply(from, boot, m.getFenceReply()))
                .on(
                        BodyCase.RENEWAL_REQUEST,
                        (from, boot, m) -> relay.onRequest(from, m.getRenewalRequest()))
                .on(
                        BodyCase.RENEWAL_REPLY,
                        (from, boot, m) -> relay.onReply(from, m.getRenewalReply()));
    }
}
