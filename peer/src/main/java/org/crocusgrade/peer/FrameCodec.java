package org.crocusgrade.peer;

import com.google.protobuf.InvalidProtocolBufferException;
import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.util.AttributeKey;
import java.security.SecureRandom;
import org.crocusgrade.peer.PeerKey.FrameTag;
import org.crocusgrade.peer.proto.Envelope;

/**
 * Encodes envelopes as authenticated frames and decodes them, on one connection.
 *
 * <p>Each side first sends 16 random bytes, its nonce. A frame is a length (4 bytes, set by the
 * length codec beside this handler), a tag (16 bytes) and a payload. The tag covers both nonces, a
 * sequence number that both sides count, and the payload; so a frame that was changed, replayed,
 * reordered, or sent back to its sender fails the check. Such a frame ends the connection.
 */
final class FrameCodec extends ChannelDuplexHandler {
    /** Set when the peer's nonce has been received; only then can frames be sent. */
    static final AttributeKey<Boolean> READY = AttributeKey.valueOf("crocusgrade.peer.ready");

    /** The user event fired through the pipeline when frames can be sent. */
    static final Object READY_EVENT = new Object();

    private static final int NONCE_BYTES = 16;
    private static final SecureRandom RANDOM = new SecureRandom();

    private final PeerListener listener;
    private final FrameTag outTag;
    private final FrameTag inTag;
    private final byte[] ownNonce = new byte[NONCE_BYTES];
    private byte[] peerNonce;
    private long outSequence;
    private long inSequence;

    FrameCodec(PeerKey key, PeerListener listener) {
        this.listener = listener;
        outTag = key.newTag();
        inTag = key.newTag();
        RANDOM.nextBytes(ownNonce);
    }

    @Override
    public void channelActive(ChannelHandlerContext ctx) throws Exception {
        ctx.writeAndFlush(ctx.alloc().buffer(NONCE_BYTES).writeBytes(ownNonce));
        super.channelActive(ctx);
    }

    @Override
    public void channelRead(ChannelHandlerContext ctx, Object message) {
        ByteBuf frame = (ByteBuf) message;
        try {
            read(ctx, frame);
        } finally {
            frame.release();
        }
    }

    private void read(ChannelHandlerContext ctx, ByteBuf frame) {
        if (peerNonce == null) {
            readNonce(ctx, frame);
            return;
        }
        if (frame.readableBytes() < PeerKey.TAG_BYTES) {
            drop(ctx.channel(), FrameDropReason.MALFORMED);
            return;
        }
        byte[] tag = new byte[PeerKey.TAG_BYTES];
        frame.readBytes(tag);
        byte[] payload = new byte[frame.readableBytes()];
        frame.readBytes(payload);
        if (!inTag.matches(tag, peerNonce, ownNonce, inSequence, payload)) {
            drop(ctx.channel(), FrameDropReason.BAD_TAG);
            return;
        }
        inSequence++;
        try {
            ctx.fireChannelRead(Envelope.parseFrom(payload));
        } catch (InvalidProtocolBufferException e) {
            drop(ctx.channel(), FrameDropReason.MALFORMED);
        }
    }

    private void readNonce(ChannelHandlerContext ctx, ByteBuf frame) {
        if (frame.readableBytes() != NONCE_BYTES) {
            drop(ctx.channel(), FrameDropReason.MALFORMED);
            return;
        }
        peerNonce = new byte[NONCE_BYTES];
        frame.readBytes(peerNonce);
        ctx.channel().attr(READY).set(Boolean.TRUE);
        ctx.fireUserEventTriggered(READY_EVENT);
    }

    @Override
    public void write(ChannelHandlerContext ctx, Object message, ChannelPromise promise) {
        byte[] payload = ((Envelope) message).toByteArray();
        byte[] tag = outTag.compute(ownNonce, peerNonce, outSequence, payload);
        outSequence++;
        ByteBuf frame = ctx.alloc().buffer(tag.length + payload.length);
        frame.writeBytes(tag).writeBytes(payload);
        ctx.write(frame, promise);
    }

    private void drop(Channel channel, FrameDropReason reason) {
        listener.onDrop(reason);
        channel.close();
    }
}
