package org.crocusgrade.daemon.owner;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.time.Duration;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.core.port.LeaseId;
import org.crocusgrade.core.port.StoreException;
import org.crocusgrade.daemon.control.FleetSnapshot;
import org.crocusgrade.daemon.link.OwnershipMessages;
import org.crocusgrade.daemon.link.PendingCalls;
import org.crocusgrade.peer.proto.Envelope;
import org.crocusgrade.peer.proto.RenewalReplyMessage;
import org.crocusgrade.peer.proto.RenewalReplyMessage.Outcome;
import org.crocusgrade.peer.proto.RenewalRequestMessage;

/**
 * Renews this daemon's lease through other daemons when this one cannot reach the platform's
 * service, and renews the leases of other daemons in the same way. Runs on the control thread.
 */
public final class LeaseRelay {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final int MAX_PEERS = 3;

    private final DaemonId self;
    private final KeyValueStore store;
    private final Supplier<FleetSnapshot> fleet;
    private final PendingCalls<Outcome> calls;
    private final BiConsumer<DaemonId, Envelope> sender;

    /**
     * Creates a relay.
     *
     * @param calls the calls that await an outcome
     */
    public LeaseRelay(
            DaemonId self,
            KeyValueStore store,
            Supplier<FleetSnapshot> fleet,
            PendingCalls<Outcome> calls,
            BiConsumer<DaemonId, Envelope> sender) {
        this.self = self;
        this.store = store;
        this.fleet = fleet;
        this.calls = calls;
        this.sender = sender;
    }

    /**
     * Requests the renewal from up to {@link #MAX_PEERS} other daemons; fails if none confirms it
     * within {@link #TIMEOUT}.
     */
    public Uni<Void> renew(LeaseId lease) {
        return Uni.createFrom()
                .<Outcome>emitter(emitter -> sendRequests(lease, emitter))
                .chain(
                        outcome ->
                                outcome == Outcome.RENEWED
                                        ? Uni.createFrom().voidItem()
                                        : Uni.createFrom().failure(failure(outcome)));
    }

    private static StoreException failure(Outcome outcome) {
        return outcome == Outcome.LOST
                ? new StoreException(
                        StoreException.Kind.LEASE_LOST, "lease expired, as another daemon reported")
                : new StoreException(
                        StoreException.Kind.UNREACHED, "no other daemon renewed the lease in time");
    }

    private void sendRequests(LeaseId lease, UniEmitter<? super Outcome> emitter) {
        Set<DaemonId> peers =
                fleet.get().members().keySet().stream()
                        .filter(peer -> !peer.equals(self))
                        .limit(MAX_PEERS)
                        .collect(Collectors.toUnmodifiableSet());
        long id =
                calls.add(
                        peers, TIMEOUT, emitter::complete, () -> emitter.complete(Outcome.FAILED));
        peers.forEach(peer -> sender.accept(peer, OwnershipMessages.renewalRequest(id, lease)));
    }

    /**
     * Handles the answer of another daemon. {@code FAILED} is ignored, as another daemon may still
     * succeed.
     */
    public void onReply(DaemonId from, RenewalReplyMessage message) {
        if (message.getOutcome() == Outcome.RENEWED || message.getOutcome() == Outcome.LOST) {
            calls.complete(from, message.getId(), message.getOutcome());
        }
    }

    /** Renews the lease of another daemon and replies with the outcome. */
    public void onRequest(DaemonId from, RenewalRequestMessage message) {
        long id = message.getId();
        store.renewLease(new LeaseId(message.getLease()))
                .subscribe()
                .with(
                        done -> reply(from, id, Outcome.RENEWED),
                        failure ->
                                reply(from, id, isLost(failure) ? Outcome.LOST : Outcome.FAILED));
    }

    private void reply(DaemonId to, long id, Outcome outcome) {
        sender.accept(to, OwnershipMessages.renewalReply(id, outcome));
    }

    private static boolean isLost(Throwable failure) {
        return failure instanceof StoreException e && e.kind() == StoreException.Kind.LEASE_LOST;
    }
}
