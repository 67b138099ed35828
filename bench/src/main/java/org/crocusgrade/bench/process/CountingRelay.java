package org.crocusgrade.bench.process;

import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.net.NetClient;
import io.vertx.mutiny.core.net.NetServer;
import io.vertx.mutiny.core.net.NetSocket;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.atomic.LongAdder;

/** A TCP relay on loopback that counts the bytes in each direction. */
public final class CountingRelay {
    private static final String LOOPBACK = "127.0.0.1";
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    private final InetSocketAddress target;
    private final NetServer server;
    private final NetClient client;
    private final InetSocketAddress address;
    private final LongAdder sent = new LongAdder();
    private final LongAdder received = new LongAdder();

    /** Starts a relay to a target. */
    public CountingRelay(Vertx vertx, InetSocketAddress target) {
        this.target = target;
        this.client = vertx.createNetClient();
        this.server = vertx.createNetServer().connectHandler(this::accept);
        server.listen(0, LOOPBACK).await().atMost(TIMEOUT);
        this.address = new InetSocketAddress(LOOPBACK, server.actualPort());
    }

    /** Returns the address that it listens on. */
    public InetSocketAddress address() {
        return address;
    }

    /** Returns the bytes forwarded to the target so far. */
    public long sentBytes() {
        return sent.sum();
    }

    /** Returns the bytes forwarded from the target so far. */
    public long receivedBytes() {
        return received.sum();
    }

    /** Stops listening and closes the connections. */
    public void stop() {
        server.close().await().atMost(TIMEOUT);
        client.close().await().atMost(TIMEOUT);
    }

    private void accept(NetSocket inbound) {
        inbound.pause();
        client.connect(target.getPort(), target.getAddress().getHostAddress())
                .subscribe()
                .with(outbound -> forward(inbound, outbound), e -> inbound.closeAndForget());
    }

    private void forward(NetSocket inbound, NetSocket outbound) {
        inbound.handler(
                bytes -> {
                    sent.add(bytes.length());
                    outbound.writeAndForget(bytes);
                });
        outbound.handler(
                bytes -> {
                    received.add(bytes.length());
                    inbound.writeAndForget(bytes);
                });
        inbound.closeHandler(outbound::closeAndForget);
        outbound.closeHandler(inbound::closeAndForget);
        inbound.resume();
    }
}
