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
 * Answers owners and take-overs as a witness, on the control thread. After a pause it promises
 * nothing until it has run again for a moment: its daemon may have been replaced meanwhile.
 */
public final class WitnessDesk {
    /** The longest time between two ticks that is no pause. */
    private static final Duration PAUSE = Duration.ofSeconds(1);

    private final Clock clock;
    private final BiConsumer<DaemonId, Envelope> sender;
    private Witness witness;
    private long tickNanos;

    /**
     * Makes a witness that has promised nothing.
     *
     * @param sender sends a message to another daemon
     */
    public WitnessDesk(
            OwnershipTimeouts times, Clock clock, BiConsumer<DaemonId, Envelope> sender) {
        this.clock = clock;
        this.sender = sender;
        witness = Witness.fresh(times);
        tickNanos = clock.nanoTime();
    }

    /** Notes that the daemon runs. */
    public void tick() {
        tickNanos = clock.nanoTime();
        witness = witness.expire(tickNanos);
    }

    /** Asks this daemon's own witness for a promise. */
    public boolean promise(DaemonRun owner, long term) {
        long now = clock.nanoTime();
        if (now - tickNanos > PAUSE.toNanos()) {
            return false;
        }
        Witness.Answer answer = witness.promise(owner, term, now);
        witness = answer.next();
        return answer.given();
    }

    /** Asks this daemon's own witness for a fence. */
    public boolean fence(DaemonRun owner, long term) {
        Witness.Answer answer = witness.fence(owner, term, clock.nanoTime());
        witness = answer.next();
        return answer.given();
    }

    /** Answers an owner. */
    public void onPromiseRequest(DaemonId from, PromiseRequestMessage message) {
        DaemonRun owner = OwnershipMessages.run(from, message.getRun());
        boolean given = promise(owner, message.getTerm());
        sender.accept(from, OwnershipMessages.promiseReply(message, given));
    }

    /** Answers a take-over. */
    public void onFenceRequest(DaemonId from, FenceRequestMessage message) {
        DaemonRun owner = OwnershipMessages.run(new DaemonId(message.getOwner()), message.getRun());
        boolean given = fence(owner, message.getTerm());
        sender.accept(from, OwnershipMessages.fenceReply(message, given));
    }
}
