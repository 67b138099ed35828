package org.crocusgrade.peer;

import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.peer.proto.Envelope;

/** Gets what the link receives; called on the link's threads, so it must not block. */
public interface PeerListener {
    /**
     * Takes a message of an authenticated peer.
     *
     * @param from the sender
     * @param boot the sender's run
     * @param message the message, its body set
     */
    void onMessage(DaemonId from, BootId boot, Envelope message);

    /** Takes note of a dropped frame or connection. */
    void onDrop(FrameDropReason reason);
}
