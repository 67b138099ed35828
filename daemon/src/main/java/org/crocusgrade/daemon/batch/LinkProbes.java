package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.daemon.log.Event;
import org.crocusgrade.peer.PeerLink;
import org.crocusgrade.peer.proto.Envelope;
import org.crocusgrade.peer.proto.LinkProbeMessage;

/**
 * Finds connections between daemons that have fallen silent without an end.
 *
 * <p>Each daemon sends over a connection of its own, so a probe goes out over one connection and
 * its answer comes back over another. A daemon whose probe has no answer replaces its own
 * connection; if it was the other that fell silent, the peer's probe has no answer either, and the
 * peer replaces that one; a probe says whether the one before was answered, so that the peer looks
 * at its link even if it sends nothing else. Only links in use are probed, and those without
 * answers, over which nothing else is sent.
 */
final class LinkProbes {
    /** The time between probes, and the time that an answer may take. */
    private static final Duration PERIOD = Duration.ofMillis(600);

    /** How long after its last use a link is probed. */
    private static final Duration USE = Duration.ofSeconds(4);

    /** How long after its last use a link without answers is probed. */
    private static final Duration FAILED_USE = Duration.ofSeconds(30);

    private final Runtime runtime;
    private final PeerLink link;
    private final Map<DaemonId, Probed> peers = new HashMap<>();
    private long lastNumber;

    LinkProbes(Runtime runtime, PeerLink link) {
        this.runtime = runtime;
        this.link = link;
    }

    /** Takes note that a message goes to a peer. */
    void used(DaemonId peer) {
        peers.computeIfAbsent(peer, p -> new Probed()).usedNanos = runtime.clock().nanoTime();
    }

    /** Returns whether nothing speaks against it that a message reaches a peer. */
    boolean isReachable(DaemonId peer) {
        Probed probed = peers.get(peer);
        return probed == null || !probed.failed;
    }

    void tick() {
        long now = runtime.clock().nanoTime();
        peers.values()
                .removeIf(
                        p -> {
                            Duration kept = p.failed ? FAILED_USE : USE;
                            return now - p.usedNanos > kept.toNanos();
                        });
        peers.forEach((peer, probed) -> probe(peer, probed, now));
    }

    private void probe(DaemonId peer, Probed probed, long now) {
        if (probed.number != 0 && now - probed.sentNanos < PERIOD.toNanos()) {
            return;
        }
        if (probed.number != 0 && !probed.answered) {
            runtime.log().log(Event.DEPENDENCY_LOST, "dependency", "link", "peer", peer);
            link.reconnect(peer);
            probed.failed = true;
        }
        probed.number = ++lastNumber;
        probed.sentNanos = now;
        probed.answered = false;
        send(
                peer,
                LinkProbeMessage.newBuilder()
                        .setNumber(probed.number)
                        .setUnanswered(probed.failed)
                        .build());
    }

    void onProbe(DaemonId from, LinkProbeMessage message) {
        if (!message.getAnswer()) {
            if (message.getUnanswered()) {
                used(from);
            }
            send(from, message.toBuilder().setAnswer(true).build());
            return;
        }
        Probed probed = peers.get(from);
        if (probed != null && probed.number == message.getNumber()) {
            probed.answered = true;
            probed.failed = false;
        }
    }

    private void send(DaemonId to, LinkProbeMessage message) {
        link.send(to, Envelope.newBuilder().setLinkProbe(message).build());
    }

    private static final class Probed {
        private long usedNanos;
        private long sentNanos;
        private long number;
        private boolean answered;
        private boolean failed;
    }
}
