package org.crocusgrade.peer;

import com.google.common.flogger.FluentLogger;
import io.netty.bootstrap.Bootstrap;
import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.handler.codec.LengthFieldBasedFrameDecoder;
import io.netty.handler.codec.LengthFieldPrepender;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.peer.proto.Envelope;
import org.crocusgrade.peer.proto.Greeting;

/**
 * The link of one daemon to all others, over TCP.
 *
 * <p>Each daemon dials a connection of its own to every peer that it sends to, and only reads from
 * the connections that it accepts. Messages are soft state that their senders repeat: one that
 * cannot be sent within the bounds is dropped and counted, and not retried.
 */
public final class PeerNode implements PeerLink {
    /** The longest frame, in bytes: 1 MiB for a configuration blob and 64 KiB for its envelope. */
    public static final int MAX_FRAME_BYTES = (1 << 20) + (1 << 16);

    /** Maximum number of messages that wait for the connection to one peer. */
    static final int MAX_QUEUED_MESSAGES = 64;

    static final Duration CONNECT_TIMEOUT = Duration.ofSeconds(1);
    static final Duration RETRY_DELAY = Duration.ofMillis(250);

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final int LENGTH_BYTES = 4;
    private static final Duration STOP_TIMEOUT = Duration.ofSeconds(2);

    private final DaemonId self;
    private final BootId boot;
    private final PeerKey key;
    private final PeerListener listener;
    private final EventLoopGroup eventLoops;
    private final Map<DaemonId, InetSocketAddress> addresses = new ConcurrentHashMap<>();
    private final Map<DaemonId, OutgoingPeer> outgoing = new ConcurrentHashMap<>();
    private Channel server;
    private volatile boolean stopped;

    /**
     * Creates a node; {@link #start} makes it listen.
     *
     * @param threads the number of I/O threads
     */
    public PeerNode(DaemonId self, BootId boot, PeerKey key, PeerListener listener, int threads) {
        this.self = self;
        this.boot = boot;
        this.key = key;
        this.listener = listener;
        eventLoops = new NioEventLoopGroup(threads, new DefaultThreadFactory("peer", true));
    }

    /**
     * Starts to listen.
     *
     * @return the bound address; the system chooses the port if the given one is 0
     * @throws PeerException if the address cannot be bound
     */
    @Override
    public InetSocketAddress start(InetSocketAddress listen) throws PeerException {
        try {
            server =
                    new ServerBootstrap()
                            .group(eventLoops)
                            .channel(NioServerSocketChannel.class)
                            .option(ChannelOption.SO_REUSEADDR, true)
                            .childOption(ChannelOption.TCP_NODELAY, true)
                            .childHandler(initializer(true))
                            .bind(listen)
                            .sync()
                            .channel();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new PeerException("Interrupted while binding " + listen, e);
        } catch (Exception e) {
            throw new PeerException("Cannot listen for peers on " + listen, e);
        }
        InetSocketAddress bound = (InetSocketAddress) server.localAddress();
        logger.atInfo().log("peer: listening on %s", bound);
        return bound;
    }

    /** Sets where a peer listens; a changed address ends the connection to the old one. */
    @Override
    public void setAddress(DaemonId peer, InetSocketAddress address) {
        InetSocketAddress old = addresses.put(peer, address);
        if (old != null && !old.equals(address)) {
            removeConnection(peer);
        }
    }

    /** Removes a peer that has left, and closes the connection to it. */
    @Override
    public void removePeer(DaemonId peer) {
        addresses.remove(peer);
        removeConnection(peer);
    }

    @Override
    public void reconnect(DaemonId peer) {
        removeConnection(peer);
    }

    /** Sends a message, or drops and counts it. */
    @Override
    public void send(DaemonId to, Envelope message) {
        if (stopped) {
            listener.onDrop(FrameDropReason.UNREACHABLE);
            return;
        }
        InetSocketAddress address = addresses.get(to);
        if (address == null) {
            listener.onDrop(FrameDropReason.NO_ADDRESS);
            return;
        }
        outgoing.computeIfAbsent(to, id -> new OutgoingPeer(this, address)).send(message);
    }

    /** Closes every connection and stops the threads. */
    @Override
    public CompletionStage<Void> stop() {
        stopped = true;
        if (server != null) {
            server.close();
        }
        outgoing.keySet().forEach(this::removeConnection);
        CompletableFuture<Void> closed = new CompletableFuture<>();
        eventLoops
                .shutdownGracefully(0, STOP_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS)
                .addListener(f -> closed.complete(null));
        return closed;
    }

    /**
     * Returns the totals of sent messages, without those to peers that were removed or reconnected.
     */
    public LinkTotals totals() {
        long messages = 0;
        long bytes = 0;
        for (OutgoingPeer peer : outgoing.values()) {
            messages += peer.sentMessages();
            bytes += peer.sentBytes();
        }
        return new LinkTotals(messages, bytes);
    }

    PeerListener listener() {
        return listener;
    }

    EventLoopGroup eventLoops() {
        return eventLoops;
    }

    Envelope greeting() {
        Greeting greeting =
                Greeting.newBuilder().setDaemon(self.value()).setBoot(boot.value()).build();
        return Envelope.newBuilder().setGreeting(greeting).build();
    }

    Bootstrap dialer(EventLoop loop) {
        return new Bootstrap()
                .group(loop)
                .channel(NioSocketChannel.class)
                .option(ChannelOption.TCP_NODELAY, true)
                .option(
                        ChannelOption.CONNECT_TIMEOUT_MILLIS,
                        Math.toIntExact(CONNECT_TIMEOUT.toMillis()))
                .handler(initializer(false));
    }

    private ChannelInitializer<SocketChannel> initializer(boolean accepted) {
        return new ChannelInitializer<>() {
            @Override
            protected void initChannel(SocketChannel channel) {
                channel.pipeline()
                        .addLast(
                                new LengthFieldBasedFrameDecoder(
                                        MAX_FRAME_BYTES, 0, LENGTH_BYTES, 0, LENGTH_BYTES))
                        .addLast(new LengthFieldPrepender(LENGTH_BYTES))
                        .addLast(new FrameCodec(key, listener))
                        .addLast(new IncomingHandler(listener, accepted));
            }
        };
    }

    private void removeConnection(DaemonId peer) {
        OutgoingPeer removed = outgoing.remove(peer);
        if (removed != null) {
            removed.close();
        }
    }

    /**
     * Totals of sent messages.
     *
     * @param messages the number of messages, greetings not included
     * @param bytes the total length of their payloads, in bytes
     */
    public record LinkTotals(long messages, long bytes) {}
}
