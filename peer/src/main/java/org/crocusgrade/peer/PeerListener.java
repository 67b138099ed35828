package org.crocusgrade.peer;

import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.peer.proto.Envelope;

/** Receives messages and reports of drops; called on the link's threads, so it must not block. */
public interface PeerListener {
    /**
     * Receives a message of an authenticated peer.
     *
     * @param from the sender
     * @param boot the boot id of the sender's process
     * @param message the message, its body set
     */
    void onMessage(DaemonId from, BootId boot, Envelope message);

    /** Reports a dropped frame or connection. */
    void onDrop(FrameDropReason reason);
}
