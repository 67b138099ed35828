package org.crocusgrade.peer;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletionStage;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.peer.proto.Envelope;

/** A daemon's link to all others. Messages may be lost, and senders must allow for that. */
public interface PeerLink {
    /**
     * Starts to listen.
     *
     * @return the address at which others reach this daemon
     * @throws PeerException if the address cannot be bound
     */
    InetSocketAddress start(InetSocketAddress listen) throws PeerException;

    /** Sets where a peer listens. */
    void setAddress(DaemonId peer, InetSocketAddress address);

    /** Removes a peer that has left, and closes the connection to it. */
    void removePeer(DaemonId peer);

    /** Closes the connection to a peer; the next message opens a new one. */
    void reconnect(DaemonId peer);

    /** Sends a message, or drops it; does not block. */
    void send(DaemonId to, Envelope message);

    /**
     * Closes every connection; messages that are sent later are dropped.
     *
     * @return completes when all connections are closed
     */
    CompletionStage<Void> stop();
}
