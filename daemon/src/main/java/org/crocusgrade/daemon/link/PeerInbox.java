package org.crocusgrade.daemon.link;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.Executor;
import java.util.function.Consumer;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.peer.FrameDropReason;
import org.crocusgrade.peer.PeerListener;
import org.crocusgrade.peer.proto.Envelope;
import org.crocusgrade.peer.proto.Envelope.BodyCase;

/**
 * Dispatches the messages of other daemons to their handlers, on the control thread. A message is
 * dropped and counted if it has no handler or its handler rejects a value.
 */
public final class PeerInbox implements PeerListener {
    private final Executor control;
    private final Consumer<FrameDropReason> dropListener;
    private final Map<BodyCase, Handler> handlers = new EnumMap<>(BodyCase.class);
    private volatile boolean open;

    /**
     * Creates an inbox that drops all messages until {@link #open}.
     *
     * @param dropListener called for each message that is dropped as malformed or by the peer link
     */
    public PeerInbox(Executor control, Consumer<FrameDropReason> dropListener) {
        this.control = control;
        this.dropListener = dropListener;
    }

    /** Handles one kind of message. */
    public interface Handler {
        /**
         * Handles a message.
         *
         * @throws IllegalArgumentException if a value in it is invalid
         */
        void onMessage(DaemonId from, BootId boot, Envelope message);
    }

    /** Sets the handler of a kind of message; only before {@link #open}. */
    public PeerInbox on(BodyCase body, Handler handler) {
        handlers.put(body, handler);
        return this;
    }

    /** Delivers messages from now on. Messages dropped before are repeated by their senders. */
    public void open() {
        open = true;
    }

    @Override
    public void onMessage(DaemonId from, BootId boot, Envelope message) {
        if (open) {
            control.execute(() -> handle(from, boot, message));
        }
    }

    @Override
    public void onDrop(FrameDropReason reason) {
        dropListener.accept(reason);
    }

    private void handle(DaemonId from, BootId boot, Envelope message) {
        Handler handler = handlers.get(message.getBodyCase());
        if (handler == null) {
            dropListener.accept(FrameDropReason.MALFORMED);
            return;
        }
        try {
            handler.onMessage(from, boot, message);
        } catch (IllegalArgumentException e) {
            dropListener.accept(FrameDropReason.MALFORMED);
        }
    }
}
