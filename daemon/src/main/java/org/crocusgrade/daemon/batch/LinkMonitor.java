package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.daemon.link.CallIds;
import org.crocusgrade.daemon.log.Event;
import org.crocusgrade.peer.PeerLink;
import org.crocusgrade.peer.proto.Envelope;
import org.crocusgrade.peer.proto.LinkProbeMessage;

/**
 * Detects connections between daemons that have gone silent without being closed.
 *
 * <p>Each daemon sends over a connection of its own, so a probe and its answer travel over
 * different connections. A daemon whose probe is not answered replaces its own connection. If it
 * was the peer's connection that went silent, the peer's probe is not answered either, and the peer
 * replaces that one. A probe carries a flag if the previous one was not answered; the peer then
 * probes its own link even if it sends nothing else. Only links in use are probed. Those whose
 * probes are not answered are probed for longer, because nothing else is sent over them.
 */
final class LinkMonitor {
    /** Interval between probes, and the time allowed for an answer. */
    private static final Duration PERIOD = Duration.ofMillis(600);

    /** How long after its last use a link is probed. */
    private static final Duration USE_WINDOW = Duration.ofSeconds(4);

    /** How long after its last use a link with unanswered probes is probed. */
    private static final Duration FAILED_USE_WINDOW = Duration.ofSeconds(30);

    private final BatchRuntime runtime;
    private final PeerLink link;
    private final CallIds ids;
    private final Map<DaemonId, PeerState> peers = new HashMap<>();

    /**
     * Creates a monitor without links.
     *
     * @param ids the numbers of the probes; those of another process of this daemon's name differ
     */
    LinkMonitor(BatchRuntime runtime, PeerLink link, CallIds ids) {
        this.runtime = runtime;
        this.link = link;
        this.ids = ids;
    }

    /** Records that a message is sent to a peer. */
    void markUsed(DaemonId peer) {
        peers.computeIfAbsent(peer, p -> new PeerState()).usedNanos = runtime.clock().nanoTime();
    }

    /**
     * Returns whether messages can be expected to reach a peer: no probe has gone unanswered since
     * the peer's last answer.
     */
    boolean isReachable(DaemonId peer) {
        PeerState state = peers.get(peer);
        return state == null || !state.failed;
    }

    void tick() {
        long now = runtime.clock().nanoTime();
        peers.values()
                .removeIf(
                        p -> {
                            Duration window = p.failed ? FAILED_USE_WINDOW : USE_WINDOW;
                            return now - p.usedNanos > window.toNanos();
                        });
        peers.forEach((peer, state) -> probe(peer, state, now));
    }

    private void probe(DaemonId peer, PeerState state, long now) {
        if (state.probed && now - state.sentNanos < PERIOD.toNanos()) {
            return;
        }
        if (state.probed && !state.answered) {
            runtime.log().log(Event.DEPENDENCY_LOST, "dependency", "link", "peer", peer);
            link.reconnect(peer);
            state.failed = true;
        }
        state.probed = true;
        state.number = ids.next();
        state.sentNanos = now;
        state.answered = false;
        send(
                peer,
                LinkProbeMessage.newBuilder()
                        .setNumber(state.number)
                        .setUnanswered(state.failed)
                        .build());
    }

    void onProbe(DaemonId from, LinkProbeMessage message) {
        if (!message.getAnswer()) {
            if (message.getUnanswered()) {
                markUsed(from);
            }
            send(from, message.toBuilder().setAnswer(true).build());
            return;
        }
        PeerState state = peers.get(from);
        if (state != null && state.probed && state.number == message.getNumber()) {
            state.answered = true;
            state.failed = false;
        }
    }

    private void send(DaemonId to, LinkProbeMessage message) {
        link.send(to, Envelope.newBuilder().setLinkProbe(message).build());
    }

    private static final class PeerState {
        private long usedNanos;
        private long sentNanos;
        private boolean probed;
        private long number;
        private boolean answered;
        private boolean failed;
    }
}
