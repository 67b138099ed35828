package org.crocusgrade.daemon.claim;

import java.time.Duration;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
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
import org.crocusgrade.daemon.link.PendingCalls;
import org.crocusgrade.peer.proto.ClaimReplyMessage;
import org.crocusgrade.peer.proto.ClaimRequestMessage;
import org.crocusgrade.peer.proto.Envelope;
import org.crocusgrade.peer.proto.Envelope.BodyCase;

/**
 * Routes each claim to the daemon that writes the log of its shard: the one with the highest
 * rendezvous weight among the members. Daemons whose member lists differ may write the same log at
 * the same time. This causes refused writes but never grants a key twice, see {@link
 * org.crocusgrade.core.claim.ClaimLog}.
 */
public final class ClaimRouter implements ClaimService {
    private static final Duration RELEASE_TIMEOUT = Duration.ofMillis(200);

    private final DaemonId self;
    private final ScheduledExecutorService control;
    private final Supplier<Set<DaemonId>> members;
    private final BiConsumer<DaemonId, Envelope> sender;
    private final ClaimLogRegistry logs;
    private final PendingCalls<ClaimVerdict> calls;

    /**
     * Creates a router.
     *
     * @param members supplies the live daemons according to this daemon's member list
     * @param calls the calls that await a verdict
     * @param sender sends a message to another daemon
     */
    public ClaimRouter(
            DaemonId self,
            BootId boot,
            PendingCalls<ClaimVerdict> calls,
            KeyValueStore store,
            Clock clock,
            ScheduledExecutorService control,
            Supplier<Set<DaemonId>> members,
            BiConsumer<DaemonId, Envelope> sender) {
        this.self = self;
        this.calls = calls;
        this.control = control;
        this.members = members;
        this.sender = sender;
        logs = new ClaimLogRegistry(store, clock, control, boot);
    }

    @Override
    public void claim(Claim claim, Duration timeout, Consumer<ClaimVerdict> verdict) {
        control.execute(() -> route(claim, timeout, verdict));
    }

    @Override
    public void release(Claim claim, Runnable done) {
        control.execute(() -> routeRelease(claim, done));
    }

    /** Unloads logs that other daemons write now. Must be called on the control thread. */
    public void tick() {
        logs.retain(shard -> writer(shard).equals(Optional.of(self)));
    }

    /**
     * Returns the number of claims in the logs that this daemon has loaded. Must be called on the
     * control thread.
     */
    public int claimCount() {
        return logs.size();
    }

    /** Registers the handlers of claim requests and replies. */
    public void register(PeerInbox inbox) {
        inbox.on(
                        BodyCase.CLAIM_REQUEST,
                        (from, boot, m) -> onRequest(from, boot, m.getClaimRequest()))
                .on(BodyCase.CLAIM_REPLY, (from, boot, m) -> onReply(from, m.getClaimReply()));
    }

    /** Handles another daemon's claim or release. Must be called on the control thread. */
    public void onRequest(DaemonId from, BootId boot, ClaimRequestMessage message) {
        Claim claim = ClaimMessages.read(from, boot, message);
        long id = message.getId();
        if (message.getRelease()) {
            logs.release(claim);
            sender.accept(from, ClaimMessages.reply(id, ClaimVerdict.GRANTED));
            return;
        }
        logs.claim(claim, verdict -> sender.accept(from, ClaimMessages.reply(id, verdict)));
    }

    /**
     * Passes on the verdict on a claim of this daemon; ignored if its timeout has passed. Must be
     * called on the control thread.
     */
    public void onReply(DaemonId from, ClaimReplyMessage message) {
        calls.complete(from, message.getId(), ClaimMessages.read(message));
    }

    private Optional<DaemonId> writer(int shard) {
        return Rendezvous.highest("claim/" + shard, members.get());
    }

    private void route(Claim claim, Duration timeout, Consumer<ClaimVerdict> verdict) {
        DaemonId writer = writer(claim.id().shard()).orElse(self);
        long id = calls.add(Set.of(writer), timeout, verdict, () -> onTimeout(claim, verdict));
        if (writer.equals(self)) {
            logs.claim(claim, result -> calls.complete(self, id, result));
        } else {
            sender.accept(writer, ClaimMessages.request(id, claim, false));
        }
    }

    private void onTimeout(Claim claim, Consumer<ClaimVerdict> verdict) {
        routeRelease(claim, () -> {});
        verdict.accept(ClaimVerdict.UNAVAILABLE);
    }

    private void routeRelease(Claim claim, Runnable done) {
        DaemonId writer = writer(claim.id().shard()).orElse(self);
        if (writer.equals(self)) {
            logs.release(claim);
            done.run();
            return;
        }
        long id = calls.add(Set.of(writer), RELEASE_TIMEOUT, v -> done.run(), done);
        sender.accept(writer, ClaimMessages.request(id, claim, true));
    }
}
