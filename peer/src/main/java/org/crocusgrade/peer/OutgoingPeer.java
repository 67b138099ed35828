package org.crocusgrade.peer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Queue;
import java.util.concurrent.RejectedExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.crocusgrade.peer.proto.Envelope;

/**
 * The connection that this daemon dials to one peer; its state is accessed on one event loop only.
 */
final class OutgoingPeer {
    private final PeerNode node;
    private final InetSocketAddress address;
    private final EventLoop loop;
    private final Queue<Envelope> queued = new ArrayDeque<>();
    private final AtomicLong sentMessages = new AtomicLong();
    private final AtomicLong sentBytes = new AtomicLong();
    private Channel channel;
    private boolean dialing;
    private boolean closed;

    OutgoingPeer(PeerNode node, InetSocketAddress address) {
        this.node = node;
        this.address = address;
        loop = node.eventLoops().next();
    }

    void send(Envelope message) {
        try {
            loop.execute(() -> sendInLoop(message));
        } catch (RejectedExecutionException e) {
            // The node was stopped by another thread during this call.
            node.listener().onDrop(FrameDropReason.UNREACHABLE);
        }
    }

    void close() {
        loop.execute(this::closeInLoop);
    }

    long sentMessages() {
        return sentMessages.get();
    }

    long sentBytes() {
        return sentBytes.get();
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
        if (queued.size() >= PeerNode.MAX_QUEUED_MESSAGES) {
            queued.remove();
            node.listener().onDrop(FrameDropReason.UNREACHABLE);
        }
        queued.add(message);
        dial();
    }

    private void write(Envelope message) {
        if (!channel.isWritable()) {
            node.listener().onDrop(FrameDropReason.CONGESTED);
            return;
        }
        sentMessages.incrementAndGet();
        sentBytes.addAndGet(message.getSerializedSize());
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
            onDisconnected();
            return;
        }
        Channel dialed = future.channel();
        dialed.closeFuture().addListener(f -> onDisconnected());
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
        while (!queued.isEmpty() && ready.isWritable()) {
            write(queued.remove());
        }
    }

    private void onDisconnected() {
        channel = null;
        for (int i = queued.size(); i > 0; i--) {
            node.listener().onDrop(FrameDropReason.UNREACHABLE);
        }
        queued.clear();
        if (closed || loop.isShuttingDown()) {
            return;
        }
        dialing = true;
        loop.schedule(this::endRetryDelay, PeerNode.RETRY_DELAY.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void endRetryDelay() {
        dialing = false;
        if (!queued.isEmpty()) {
            dial();
        }
    }

    private void closeInLoop() {
        closed = true;
        queued.clear();
        if (channel != null) {
            channel.close();
        }
    }

    /** Sends the queued messages when the peer's nonce has been received. */
    private final class ReadyHandler extends ChannelInboundHandlerAdapter {
        @Override
        public void userEventTriggered(ChannelHandlerContext ctx, Object event) {
            if (event == FrameCodec.READY_EVENT) {
                onReady(ctx.channel());
            }
        }
    }
}
