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
    private final Map<Long, Consumer<ClaimVerdict>> pendingVerdicts = new HashMap<>();
    private long lastId;

    /**
     * Creates a router.
     *
     * @param members supplies the live daemons according to this daemon's member list
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
                .on(BodyCase.CLAIM_REPLY, (from, boot, m) -> onReply(m.getClaimReply()));
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
    public void onReply(ClaimReplyMessage message) {
        Consumer<ClaimVerdict> pending = pendingVerdicts.remove(message.getId());
        if (pending != null) {
            pending.accept(ClaimMessages.read(message));
        }
    }

    private Optional<DaemonId> writer(int shard) {
        return Rendezvous.highest("claim/" + shard, members.get());
    }

    private void route(Claim claim, Duration timeout, Consumer<ClaimVerdict> verdict) {
        long id = addPending(timeout, verdict, () -> releaseAfterTimeout(claim));
        DaemonId writer = writer(claim.id().shard()).orElse(self);
        if (writer.equals(self)) {
            logs.claim(claim, result -> complete(id, result));
        } else {
            sender.accept(writer, ClaimMessages.request(id, claim, false));
        }
    }

    private void releaseAfterTimeout(Claim claim) {
        routeRelease(claim, () -> {});
    }

    private void routeRelease(Claim claim, Runnable done) {
        DaemonId writer = writer(claim.id().shard()).orElse(self);
        if (writer.equals(self)) {
            logs.release(claim);
            done.run();
            return;
        }
        long id = addPending(RELEASE_TIMEOUT, verdict -> done.run(), () -> {});
        sender.accept(writer, ClaimMessages.request(id, claim, true));
    }

    private long addPending(Duration timeout, Consumer<ClaimVerdict> verdict, Runnable onTimeout) {
        lastId++;
        long id = lastId;
        pendingVerdicts.put(id, verdict);
        control.schedule(
                () -> {
                    if (pendingVerdicts.containsKey(id)) {
                        onTimeout.run();
                        complete(id, ClaimVerdict.UNAVAILABLE);
                    }
                },
                timeout.toNanos(),
                TimeUnit.NANOSECONDS);
        return id;
    }

    private void complete(long id, ClaimVerdict verdict) {
        Consumer<ClaimVerdict> pending = pendingVerdicts.remove(id);
        if (pending != null) {
            pending.accept(verdict);
        }
    }
}
