package org.crocusgrade.daemon.batch;

import java.net.InetSocketAddress;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionStage;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.peer.PeerLink;

/** A simulated link without connections: daemons are found by name. */
abstract class SimLink implements PeerLink {
    @Override
    public InetSocketAddress start(InetSocketAddress listen) {
        return listen;
    }

    @Override
    public void setAddress(DaemonId peer, InetSocketAddress address) {
        // Not needed: simulated daemons are found by name.
    }

    @Override
    public void removePeer(DaemonId peer) {
        // Not needed: simulated daemons are found by name.
    }

    @Override
    public void reconnect(DaemonId peer) {
        // Not needed: there are no connections.
    }

    @Override
    public CompletionStage<Void> stop() {
        return CompletableFuture.completedStage(null); // Nothing to close.
    }
}
