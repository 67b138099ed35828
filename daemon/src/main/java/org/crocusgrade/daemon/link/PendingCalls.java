package org.crocusgrade.daemon.link;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.daemon.log.Event;
import org.crocusgrade.daemon.log.EventLog;

/**
 * The calls of one kind that await a reply from another daemon. Must be used on one thread.
 *
 * <p>A reply completes a call only if it carries the id of that call, which no other process uses,
 * and comes from a daemon that was called. All other replies are logged and ignored: those to an
 * earlier process of this daemon's name, those of a daemon that has taken over the address of the
 * one that was called, and those that come too late. The boot id of the sender does not matter: a
 * message may reach the successor of the process that it was sent to, whose reply is as good.
 *
 * @param <R> the type of the replies
 */
public final class PendingCalls<R> {
    private final String kind;
    private final CallIds ids;
    private final Timer timer;
    private final EventLog log;
    private final Map<Long, Call<R>> calls = new HashMap<>();

    /** Runs steps on the thread of the calls. */
    public interface Timer {
        /** Runs a step after a delay. */
        void after(Duration delay, Runnable step);
    }

    private record Call<R>(Set<DaemonId> callees, Consumer<R> onReply) {}

    /**
     * Creates a table without calls.
     *
     * @param kind names the calls in the log
     * @param ids the ids of this process; may be shared with other tables
     */
    public PendingCalls(String kind, CallIds ids, Timer timer, EventLog log) {
        this.kind = kind;
        this.ids = ids;
        this.timer = timer;
        this.log = log;
    }

    /**
     * Adds a call and returns the id to send with it. Exactly one of the callbacks will run, once.
     *
     * @param callees the daemons that are called; the first reply of any of them counts
     * @param onTimeout runs if no reply has arrived within the timeout
     */
    public long add(
            Set<DaemonId> callees, Duration timeout, Consumer<R> onReply, Runnable onTimeout) {
        long id = ids.next();
        calls.put(id, new Call<>(Set.copyOf(callees), onReply));
        timer.after(
                timeout,
                () -> {
                    if (calls.remove(id) != null) {
                        onTimeout.run();
                    }
                });
        return id;
    }

    /** Completes the call that a reply is for; a reply that is for none is ignored. */
    public void complete(DaemonId from, long id, R reply) {
        Call<R> call = calls.get(id);
        if (call == null) {
            ignore(from, id, ids.isIssued(id) ? "call-ended" : "call-of-another-process");
            return;
        }
        if (!call.callees.contains(from)) {
            ignore(from, id, "daemon-not-called");
            return;
        }
        calls.remove(id);
        call.onReply.accept(reply);
    }

    private void ignore(DaemonId from, long id, String reason) {
        log.log(
                Event.REPLY_IGNORED,
                "kind",
                kind,
                "peer",
                from,
                "call",
                Long.toHexString(id),
                "reason",
                reason);
    }
}
