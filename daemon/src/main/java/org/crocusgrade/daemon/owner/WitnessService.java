package org.crocusgrade.daemon.owner;

import java.time.Duration;
import java.util.function.BiConsumer;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.member.DaemonRun;
import org.crocusgrade.core.member.OwnershipTimeouts;
import org.crocusgrade.core.member.Witness;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.daemon.link.OwnershipMessages;
import org.crocusgrade.peer.proto.Envelope;
import org.crocusgrade.peer.proto.FenceRequestMessage;
import org.crocusgrade.peer.proto.PromiseRequestMessage;

/**
 * Answers requests for promises and fences as a witness, on the control thread. After a pause of
 * the process it grants no promise until the next tick, because its daemon may have been replaced
 * meanwhile.
 */
public final class WitnessService {
    /** Longest time since the last tick at which promises are still granted. */
    private static final Duration MAX_TICK_GAP = Duration.ofSeconds(1);

    private final Clock clock;
    private final BiConsumer<DaemonId, Envelope> sender;
    private Witness witness;
    private long lastTickNanos;

    /**
     * Creates a witness without promises or fences.
     *
     * @param sender sends a message to another daemon
     */
    public WitnessService(
            OwnershipTimeouts timeouts, Clock clock, BiConsumer<DaemonId, Envelope> sender) {
        this.clock = clock;
        this.sender = sender;
        witness = Witness.fresh(timeouts);
        lastTickNanos = clock.nanoTime();
    }

    /** Records that the daemon is running, and drops expired promises. */
    public void tick() {
        lastTickNanos = clock.nanoTime();
        witness = witness.expire(lastTickNanos);
    }

    /** Requests a promise from this daemon's own witness, and returns whether it was granted. */
    public boolean promise(DaemonRun owner, long term) {
        long now = clock.nanoTime();
        if (now - lastTickNanos > MAX_TICK_GAP.toNanos()) {
            return false;
        }
        Witness.Answer answer = witness.promise(owner, term, now);
        witness = answer.next();
        return answer.granted();
    }

    /** Requests a fence from this daemon's own witness, and returns whether it was granted. */
    public boolean fence(DaemonRun owner, long term) {
        Witness.Answer answer = witness.fence(owner, term, clock.nanoTime());
        witness = answer.next();
        return answer.granted();
    }

    /** Answers the promise request of an owner. */
    public void onPromiseRequest(DaemonId from, PromiseRequestMessage message) {
        DaemonRun owner = OwnershipMessages.run(from, message.getRun());
        boolean granted = promise(owner, message.getTerm());
        sender.accept(from, OwnershipMessages.promiseReply(message, granted));
    }

    /** Answers the fence request of a daemon that attempts a take-over. */
    public void onFenceRequest(DaemonId from, FenceRequestMessage message) {
        DaemonRun owner = OwnershipMessages.run(new DaemonId(message.getOwner()), message.getRun());
        boolean granted = fence(owner, message.getTerm());
        sender.accept(from, OwnershipMessages.fenceReply(message, granted));
    }
}
