package org.crocusgrade.bench.spread;

import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import org.crocusgrade.core.config.ConfigBundle;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.daemon.configuration.ConfigExchange;
import org.crocusgrade.peer.FrameDropReason;
import org.crocusgrade.peer.PeerException;
import org.crocusgrade.peer.PeerKey;
import org.crocusgrade.peer.PeerListener;
import org.crocusgrade.peer.PeerNode;
import org.crocusgrade.peer.proto.Envelope;

/** Daemons of one zone that exchange configurations over real peer links on loopback. */
final class ConfigExchangeFleet implements AutoCloseable {
    private static final AvailabilityZone ZONE = new AvailabilityZone("zone");
    private static final long TIMEOUT_SECONDS = 30;

    private final List<Node> nodes = new ArrayList<>();
    private volatile CountDownLatch pendingNodes = new CountDownLatch(0);

    ConfigExchangeFleet(int size, int fanOut) throws PeerException {
        Map<DaemonId, AvailabilityZone> members = new HashMap<>();
        for (int i = 0; i < size; i++) {
            Node node = new Node(new DaemonId("d%03d".formatted(i)), fanOut);
            nodes.add(node);
            members.put(node.id, ZONE);
        }
        for (Node node : nodes) {
            nodes.forEach(other -> node.link.setAddress(other.id, other.address));
            node.run(() -> node.exchange.setMembers(members));
        }
    }

    /** Gives a version to the first daemon and returns the nanoseconds until all have it. */
    long measureSpread(ConfigBundle bundle) throws InterruptedException {
        pendingNodes = new CountDownLatch(nodes.size());
        long start = System.nanoTime();
        Node first = nodes.get(0);
        first.run(() -> first.exchange.onStore(bundle));
        if (!pendingNodes.await(TIMEOUT_SECONDS, TimeUnit.SECONDS)) {
            throw new IllegalStateException(
                    pendingNodes.getCount() + " daemons did not receive the configuration in time");
        }
        return System.nanoTime() - start;
    }

    @Override
    public void close() {
        nodes.forEach(Node::close);
    }

    /** One daemon's peer link and configuration exchange, with its own control thread. */
    private final class Node implements PeerListener {
        private final DaemonId id;
        private final PeerNode link;
        private final InetSocketAddress address;
        private final ConfigExchange exchange;
        private final ExecutorService control = Executors.newSingleThreadExecutor();

        Node(DaemonId id, int fanOut) throws PeerException {
            this.id = id;
            PeerKey key = new PeerKey("a key of the bench".getBytes(StandardCharsets.UTF_8));
            link = new PeerNode(id, new BootId("boot"), key, this, 1);
            address = link.start(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0));
            exchange =
                    new ConfigExchange(
                            id,
                            address,
                            link::send,
                            link::setAddress,
                            bundle -> pendingNodes.countDown(),
                            fanOut);
        }

        void run(Runnable step) {
            control.execute(step);
        }

        void close() {
            control.shutdownNow();
            link.stop();
        }

        @Override
        public void onMessage(DaemonId from, BootId boot, Envelope message) {
            run(() -> receive(from, message));
        }

        @Override
        public void onDrop(FrameDropReason reason) {
            // A version whose message is dropped does not reach a daemon; measureSpread then fails.
        }

        private void receive(DaemonId from, Envelope message) {
            switch (message.getBodyCase()) {
                case CONFIG_DIGEST -> exchange.onDigest(from, message.getConfigDigest());
                case CONFIG_PULL -> exchange.onPull(from, message.getConfigPull());
                case CONFIG_PUSH -> exchange.onPush(from, message.getConfigPush());
                default -> {}
            }
        }
    }
}
