package org.crocusgrade.daemon.claim;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import org.crocusgrade.core.claim.Claim;
import org.crocusgrade.core.claim.ClaimVerdict;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.member.Rendezvous;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.daemon.link.ClaimMessages;
import org.crocusgrade.daemon.link.PeerInbox;
import org.crocusgrade.peer.proto.ClaimReplyMessage;
import org.crocusgrade.peer.proto.ClaimRequestMessage;
import org.crocusgrade.peer.proto.Envelope;
import org.crocusgrade.peer.proto.Envelope.BodyCase;

/**
 * Takes each wish to the daemon that writes the key's log: the one with the highest rendezvous
 * weight among the members. Daemons whose member lists differ may write one log at the same time;
 * that costs refused writes but grants nothing twice, see {@link
 * org.crocusgrade.core.claim.ClaimLog}.
 */
public final class ClaimRouter implements ClaimService {
    private static final Duration RELEASE_TIMEOUT = Duration.ofMillis(200);

    private final DaemonId self;
    private final ScheduledExecutorService control;
    private final Supplier<Set<DaemonId>> members;
    private final BiConsumer<DaemonId, Envelope> sender;
    private final ClaimKeeper keeper;
    private final Map<Long, Consumer<ClaimVerdict>> asked = new HashMap<>();
    private long counter;

    /**
     * Makes a router.
     *
     * @param members the live daemons as this one sees them
     * @param sender sends a message to another daemon
     */
    public ClaimRouter(
            DaemonId self,
            BootId boot,
            KeyValueStore store,
            Clock clock,
            ScheduledExecutorService control,
            Supplier<Set<DaemonId>> members,
            BiConsumer<DaemonId, Envelope> sender) {
        this.self = self;
        this.control = control;
        this.members = members;
        this.sender = sender;
        keeper = new ClaimKeeper(store, clock, control, boot);
    }

    @Override
    public void claim(Claim claim, Duration timeout, Consumer<ClaimVerdict> verdict) {
        control.execute(() -> route(claim, timeout, verdict));
    }

    @Override
    public void release(Claim claim, Runnable done) {
        control.execute(() -> routeRelease(claim, done));
    }

    /** Forgets logs that other daemons write now; to be called on the control thread. */
    public void tick() {
        keeper.retain(shard -> writer(shard).equals(Optional.of(self)));
    }

    /** Returns the number of claims that this daemon keeps in memory; on the control thread. */
    public int kept() {
        return keeper.size();
    }

    /** Registers what this part takes of the other daemons' messages. */
    public void register(PeerInbox inbox) {
        inbox.on(
                        BodyCase.CLAIM_REQUEST,
                        (from, run, m) -> onRequest(from, run, m.getClaimRequest()))
                .on(BodyCase.CLAIM_REPLY, (from, run, m) -> onReply(m.getClaimReply()));
    }

    /** Takes another daemon's wish; on the control thread. */
    public void onRequest(DaemonId from, BootId boot, ClaimRequestMessage message) {
        Claim claim = ClaimMessages.read(from, boot, message);
        long id = message.getId();
        if (message.getRelease()) {
            keeper.release(claim);
            sender.accept(from, ClaimMessages.reply(id, ClaimVerdict.GRANTED));
            return;
        }
        keeper.claim(claim, verdict -> sender.accept(from, ClaimMessages.reply(id, verdict)));
    }

    /** Takes the verdict on this daemon's wish; on the control thread. */
    public void onReply(ClaimReplyMessage message) {
        Consumer<ClaimVerdict> waiting = asked.remove(message.getId());
        if (waiting != null) {
            waiting.accept(ClaimMessages.read(message));
        }
    }

    private Optional<DaemonId> writer(int shard) {
        return Rendezvous.highest("claim/" + shard, members.get());
    }

    private void route(Claim claim, Duration timeout, Consumer<ClaimVerdict> verdict) {
        long id = await(timeout, verdict, () -> giveBack(claim));
        DaemonId writer = writer(claim.id().shard()).orElse(self);
        if (writer.equals(self)) {
            keeper.claim(claim, given -> settle(id, given));
        } else {
            sender.accept(writer, ClaimMessages.request(id, claim, false));
        }
    }

    private void giveBack(Claim claim) {
        routeRelease(claim, () -> {});
    }

    private void routeRelease(Claim claim, Runnable done) {
        DaemonId writer = writer(claim.id().shard()).orElse(self);
        if (writer.equals(self)) {
            keeper.release(claim);
            done.run();
            return;
        }
        long id = await(RELEASE_TIMEOUT, verdict -> done.run(), () -> {});
        sender.accept(writer, ClaimMessages.request(id, claim, true));
    }

    private long await(Duration timeout, Consumer<ClaimVerdict> verdict, Runnable onTimeout) {
        counter++;
        long id = counter;
        asked.put(id, verdict);
        control.schedule(
                () -> {
                    if (asked.containsKey(id)) {
                        onTimeout.run();
                        settle(id, ClaimVerdict.UNAVAILABLE);
                    }
                },
                timeout.toNanos(),
                TimeUnit.NANOSECONDS);
        return id;
    }

    private void settle(long id, ClaimVerdict verdict) {
        Consumer<ClaimVerdict> waiting = asked.remove(id);
        if (waiting != null) {
            waiting.accept(verdict);
        }
    }
}
