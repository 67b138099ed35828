package org.crocusgrade.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.crocusgrade.peer.proto.Envelope;

/** The connection that this daemon dials to one peer; its state is kept by one event loop. */
final class OutgoingPeer {
    private final PeerNode node;
    private final InetSocketAddress address;
    private final EventLoop loop;
    private final Queue<Envelope> waiting = new ArrayDeque<>();
    private final AtomicLong messages = new AtomicLong();
    private final AtomicLong bytes = new AtomicLong();
    private Channel channel;
    private boolean dialing;
    private boolean closed;

    OutgoingPeer(PeerNode node, InetSocketAddress address) {
        this.node = node;
        this.address = address;
        loop = node.loops().next();
    }

    void send(Envelope message) {
        loop.execute(() -> sendInLoop(message));
    }

    void close() {
        loop.execute(this::closeInLoop);
    }

    long messages() {
        return messages.get();
    }

    long bytes() {
        return bytes.get();
    }

    private void sendInLoop(Envelope message) {
        if (closed) {
            node.listener().onDrop(FrameDropReason.UNREACHABLE);
            return;
        }
        if (channel != null && channel.isActive()) {
            write(message);
            return;
        }
        if (waiting.size() >= PeerNode.MAX_WAITING) {
            waiting.remove();
            node.listener().onDrop(FrameDropReason.UNREACHABLE);
        }
        waiting.add(message);
        dial();
    }

    private void write(Envelope message) {
        if (!channel.isWritable()) {
            node.listener().onDrop(FrameDropReason.CONGESTED);
            return;
        }
        messages.incrementAndGet();
        bytes.addAndGet(message.getSerializedSize());
        channel.writeAndFlush(message);
    }

    private void dial() {
        if (dialing || closed) {
            return;
        }
        dialing = true;
        node.dialer(loop).connect(address).addListener(f -> onDialed((ChannelFuture) f));
    }

    private void onDialed(ChannelFuture future) {
        if (!future.isSuccess()) {
            onDown();
            return;
        }
        Channel dialed = future.channel();
        dialed.closeFuture().addListener(f -> onDown());
        if (Boolean.TRUE.equals(dialed.attr(FrameCodec.READY).get())) {
            onReady(dialed);
            return;
        }
        dialed.pipeline().addLast(new ReadyHandler());
    }

    private void onReady(Channel ready) {
        if (closed) {
            ready.close();
            return;
        }
        dialing = false;
        channel = ready;
        ready.writeAndFlush(node.greeting());
        while (!waiting.isEmpty() && ready.isWritable()) {
            write(waiting.remove());
        }
    }

    private void onDown() {
        channel = null;
        for (int i = waiting.size(); i > 0; i--) {
            node.listener().onDrop(FrameDropReason.UNREACHABLE);
        }
        waiting.clear();
        if (closed || loop.isShuttingDown()) {
            return;
        }
        dialing = true;
        loop.schedule(this::endPause, PeerNode.RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void endPause() {
        dialing = false;
        if (!waiting.isEmpty()) {
            dial();
        }
    }

    private void closeInLoop() {
        closed = true;
        waiting.clear();
        if (channel != null) {
            channel.close();
        }
    }

    /** Waits for the peer's nonce. */
    private final class ReadyHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event == FrameCodec.READY_EVENT) {
                onReady(ctx.channel());
            }
        }
    }
}
