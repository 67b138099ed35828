package org.crocusgrade.daemon.owner;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.core.port.LeaseId;
import org.crocusgrade.core.port.StoreException;
import org.crocusgrade.daemon.control.FleetSnapshot;
import org.crocusgrade.daemon.link.OwnershipMessages;
import org.crocusgrade.peer.proto.Envelope;
import org.crocusgrade.peer.proto.RenewalReplyMessage;
import org.crocusgrade.peer.proto.RenewalReplyMessage.Outcome;
import org.crocusgrade.peer.proto.RenewalRequestMessage;

/**
 * Renews a lease through other daemons when this one does not reach the platform's service, and
 * renews theirs. On the control thread.
 */
public final class LeaseRelay {
    private static final Duration TIMEOUT = Duration.ofSeconds(1);
    private static final int MAX_ASKED = 3;

    private final DaemonId self;
    private final KeyValueStore store;
    private final Supplier<FleetSnapshot> fleet;
    private final ScheduledExecutorService control;
    private final BiConsumer<DaemonId, Envelope> sender;
    private final Map<Long, UniEmitter<? super Outcome>> waiting = new HashMap<>();
    private long counter;

    /** Makes a relay. */
    public LeaseRelay(
            DaemonId self,
            KeyValueStore store,
            Supplier<FleetSnapshot> fleet,
            ScheduledExecutorService control,
            BiConsumer<DaemonId, Envelope> sender) {
        this.self = self;
        this.store = store;
        this.fleet = fleet;
        this.control = control;
        this.sender = sender;
    }

    /** Asks some other daemons to renew the lease; fails if none says that it did. */
    public Uni<Void> renew(LeaseId lease) {
        return Uni.createFrom()
                .<Outcome>emitter(emitter -> ask(lease, emitter))
                .chain(
                        outcome ->
                                outcome == Outcome.RENEWED
                                        ? Uni.createFrom().voidItem()
                                        : Uni.createFrom().failure(failure(outcome)));
    }

    private static StoreException failure(Outcome outcome) {
        return outcome == Outcome.LOST
                ? new StoreException(StoreException.Kind.LEASE_LOST, "lost, says another daemon")
                : new StoreException(
                        StoreException.Kind.UNREACHED, "no daemon reaches the service");
    }

    private void ask(LeaseId lease, UniEmitter<? super Outcome> emitter) {
        counter++;
        long id = counter;
        waiting.put(id, emitter);
        fleet.get().members().keySet().stream()
                .filter(each -> !each.equals(self))
                .limit(MAX_ASKED)
                .forEach(each -> sender.accept(each, OwnershipMessages.renewalRequest(id, lease)));
        control.schedule(
                () -> finish(id, Outcome.FAILED), TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void finish(long id, Outcome outcome) {
        UniEmitter<? super Outcome> emitter = waiting.remove(id);
        if (emitter != null) {
            emitter.complete(outcome);
        }
    }

    /** Takes another daemon's answer; one that failed leaves the others to answer. */
    public void onReply(RenewalReplyMessage message) {
        if (message.getOutcome() == Outcome.RENEWED || message.getOutcome() == Outcome.LOST) {
            finish(message.getId(), message.getOutcome());
        }
    }

    /** Renews another daemon's lease. */
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
