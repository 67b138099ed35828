package org.crocusgrade.peer;

import java.net.InetSocketAddress;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.peer.proto.Envelope;

/** One daemon's end of the link to all others. Messages may be lost; their senders see to that. */
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

    /** Forgets a peer that has left. */
    void removePeer(DaemonId peer);

    /** Ends the connection to a peer, so that the next message goes over a new one. */
    void reconnect(DaemonId peer);

    /** Sends a message, or drops it. */
    void send(DaemonId to, Envelope message);

    /** Closes every connection. */
    void stop();
}
