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
 * Takes the messages of the other daemons to the parts that they are for, on the control thread. A
 * message whose values are refused is dropped and counted, as is one that no part takes.
 */
public final class PeerInbox implements PeerListener {
    private final Executor control;
    private final Consumer<FrameDropReason> drops;
    private final Map<BodyCase, Handler> handlers = new EnumMap<>(BodyCase.class);
    private volatile boolean open;

    /**
     * Makes an inbox that drops all messages until {@link #open}.
     *
     * @param drops takes note of dropped messages
     */
    public PeerInbox(Executor control, Consumer<FrameDropReason> drops) {
        this.control = control;
        this.drops = drops;
    }

    /** Takes one kind of message. */
    public interface Handler {
        /**
         * Takes a message.
         *
         * @throws IllegalArgumentException if a value in it is refused
         */
        void onMessage(DaemonId from, BootId boot, Envelope message);
    }

    /** Sets who takes a kind of message; before {@link #open} only. */
    public PeerInbox on(BodyCase body, Handler handler) {
        handlers.put(body, handler);
        return this;
    }

    /** Lets messages through from now on; senders repeat what was dropped before. */
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
        drops.accept(reason);
    }

    private void handle(DaemonId from, BootId boot, Envelope message) {
        Handler handler = handlers.get(message.getBodyCase());
        if (handler == null) {
            drops.accept(FrameDropReason.MALFORMED);
            return;
        }
        try {
            handler.onMessage(from, boot, message);
        } catch (IllegalArgumentException e) {
            drops.accept(FrameDropReason.MALFORMED);
        }
    }
}
