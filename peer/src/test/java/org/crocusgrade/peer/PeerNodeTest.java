package org.crocusgrade.peer;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.peer.proto.Envelope;
import org.crocusgrade.peer.proto.Greeting;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class PeerNodeTest {
    private static final int WAIT_SECONDS = 10;
    private static final String KEY = "a key of some length";

    private final List<PeerNode> nodes = new ArrayList<>();

    @AfterEach
    void stopNodes() {
        nodes.forEach(PeerNode::stop);
    }

    @Test
    void messagesArriveInOrderWithTheIdOfTheirSender() throws Exception {
        RecordingListener recorder = new RecordingListener();
        InetSocketAddress address = start("b", KEY, recorder).address;
        PeerNode sender = start("a", KEY, new RecordingListener()).node;
        sender.setAddress(new DaemonId("b"), address);
        for (int i = 0; i < 5; i++) {
            sender.send(new DaemonId("b"), message("m" + i));
        }
        List<String> received = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            received.add(recorder.messages.poll(WAIT_SECONDS, TimeUnit.SECONDS));
        }
        assertThat(received, contains("a:m0", "a:m1", "a:m2", "a:m3", "a:m4"));
    }

    @Test
    void frameWithATagOfAnotherKeyIsDropped() throws Exception {
        RecordingListener recorder = new RecordingListener();
        InetSocketAddress address = start("b", KEY, recorder).address;
        PeerNode senderWithOtherKey =
                start("a", "another key, as long", new RecordingListener()).node;
        senderWithOtherKey.setAddress(new DaemonId("b"), address);
        senderWithOtherKey.send(new DaemonId("b"), message("m"));
        assertThat(
                recorder.drops.poll(WAIT_SECONDS, TimeUnit.SECONDS), is(FrameDropReason.BAD_TAG));
        assertThat(recorder.messages.poll(), nullValue());
    }

    @Test
    void frameLengthAboveTheBoundIsRefusedBeforeThePayloadArrives() throws Exception {
        RecordingListener recorder = new RecordingListener();
        InetSocketAddress address = start("b", KEY, recorder).address;
        try (Socket socket = new Socket(address.getAddress(), address.getPort())) {
            OutputStream out = socket.getOutputStream();
            out.write(new byte[] {0x7f, -1, -1, -1, 1, 2, 3});
            out.flush();
            FrameDropReason reason = recorder.drops.poll(WAIT_SECONDS, TimeUnit.SECONDS);
            assertThat(reason, is(FrameDropReason.TOO_LONG));
        }
    }

    @Test
    void messageToAPeerWithoutAnAddressIsCountedAsDropped() throws Exception {
        RecordingListener recorder = new RecordingListener();
        start("a", KEY, recorder).node.send(new DaemonId("z"), message("m"));
        assertThat(recorder.drops.poll(), is(FrameDropReason.NO_ADDRESS));
    }

    /** Guards against exceptions in periodic senders that run until the process exits. */
    @Test
    void messageAfterTheStopIsCountedAsDropped() throws Exception {
        RecordingListener recorder = new RecordingListener();
        InetSocketAddress address = start("b", KEY, new RecordingListener()).address;
        PeerNode sender = start("a", KEY, recorder).node;
        sender.setAddress(new DaemonId("b"), address);
        sender.send(new DaemonId("b"), message("m"));
        sender.stop().toCompletableFuture().get(WAIT_SECONDS, TimeUnit.SECONDS);
        recorder.drops.clear();
        sender.send(new DaemonId("b"), message("m"));
        assertThat(recorder.drops.poll(), is(FrameDropReason.UNREACHABLE));
    }

    private Started start(String name, String key, RecordingListener recorder)
            throws PeerException {
        PeerKey peerKey = new PeerKey(key.getBytes(StandardCharsets.UTF_8));
        PeerNode node =
                new PeerNode(new DaemonId(name), new BootId(name + "-1"), peerKey, recorder, 1);
        nodes.add(node);
        InetAddress loopback = InetAddress.getLoopbackAddress();
        return new Started(node, node.start(new InetSocketAddress(loopback, 0)));
    }

    private static Envelope message(String text) {
        Greeting greeting = Greeting.newBuilder().setDaemon(text).setBoot("x").build();
        return Envelope.newBuilder().setGreeting(greeting).build();
    }

    private record Started(PeerNode node, InetSocketAddress address) {}

    private static final class RecordingListener implements PeerListener {
        final BlockingQueue<String> messages = new LinkedBlockingQueue<>();
        final BlockingQueue<FrameDropReason> drops = new LinkedBlockingQueue<>();

        @Override
        public void onMessage(DaemonId from, BootId boot, Envelope message) {
            messages.add(from + ":" + message.getGreeting().getDaemon());
        }

        @Override
        public void onDrop(FrameDropReason reason) {
            drops.add(reason);
        }
    }
}
