package org.crocusgrade.peer;

import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.TooLongFrameException;
import java.io.IOException;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.misc.Names;
import org.crocusgrade.peer.proto.Envelope;
import org.crocusgrade.peer.proto.Greeting;

/**
 * Reads the greeting of an accepted connection, then passes its messages to the listener. A message
 * on a connection that this daemon dialed is malformed, because the peer must not send on it.
 */
final class IncomingHandler extends SimpleChannelInboundHandler<Envelope> {
    private final PeerListener listener;
    private final boolean accepted;
    private DaemonId peer;
    private BootId boot;

    IncomingHandler(PeerListener listener, boolean accepted) {
        this.listener = listener;
        this.accepted = accepted;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext ctx, Envelope message) {
        if (!accepted) {
            drop(ctx, FrameDropReason.MALFORMED);
            return;
        }
        if (peer != null) {
            listener.onMessage(peer, boot, message);
            return;
        }
        Greeting greeting = message.getGreeting();
        if (!Names.isName(greeting.getDaemon()) || !Names.isName(greeting.getBoot())) {
            drop(ctx, FrameDropReason.NO_GREETING);
            return;
        }
        peer = new DaemonId(greeting.getDaemon());
        boot = new BootId(greeting.getBoot());
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext ctx, Throwable cause) {
        if (cause instanceof TooLongFrameException) {
            drop(ctx, FrameDropReason.TOO_LONG);
            return;
        }
        if (!(cause instanceof IOException)) {
            listener.onDrop(FrameDropReason.MALFORMED);
        }
        ctx.close();
    }

    private void drop(ChannelHandlerContext ctx, FrameDropReason reason) {
        listener.onDrop(reason);
        ctx.close();
    }
}
