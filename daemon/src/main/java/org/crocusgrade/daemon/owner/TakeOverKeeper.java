package org.crocusgrade.daemon.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BiConsumer;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.member.AuthorityCodec;
import org.crocusgrade.core.member.AuthorityRecord;
import org.crocusgrade.core.member.DaemonRun;
import org.crocusgrade.core.member.MemberException;
import org.crocusgrade.core.member.MemberRecord;
import org.crocusgrade.core.member.OwnershipTimeouts;
import org.crocusgrade.core.member.Rendezvous;
import org.crocusgrade.core.member.TakeOver;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.daemon.control.FleetSnapshot;
import org.crocusgrade.daemon.control.PrefixWatcher;
import org.crocusgrade.daemon.link.OwnershipMessages;
import org.crocusgrade.peer.proto.Envelope;
import org.crocusgrade.peer.proto.FenceReplyMessage;

/**
 * Closes the authority records of daemons that are gone, on the control thread. One live daemon,
 * chosen by hash, asks the witnesses; the others watch for the closed record.
 */
public final class TakeOverKeeper {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration ASK_PERIOD = Duration.ofMillis(500);

    private final DaemonRun process;
    private final OwnershipTimeouts times;
    private final KeyValueStore store;
    private final WitnessDesk desk;
    private final BiConsumer<DaemonId, Envelope> sender;
    private final ScheduledExecutorService control;
    private final PrefixWatcher watcher;
    private final Map<DaemonId, Versioned> records = new HashMap<>();
    private final Map<DaemonId, TakeOver> attempts = new HashMap<>();
    private boolean busy;
    private long askedNanos;

    private record Versioned(AuthorityRecord record, long revision) {}

    /** Makes a keeper; {@link #start} makes it watch. */
    public TakeOverKeeper(
            DaemonRun process,
            OwnershipTimeouts times,
            KeyValueStore store,
            WitnessDesk desk,
            BiConsumer<DaemonId, Envelope> sender,
            ScheduledExecutorService control) {
        this.process = process;
        this.times = times;
        this.store = store;
        this.desk = desk;
        this.sender = sender;
        this.control = control;
        watcher = new PrefixWatcher(store, AuthorityRecord.PREFIX, control, this::onRecords);
    }

    /** Starts to watch the records. */
    public void start() {
        watcher.start();
    }

    /** Ends the watch. */
    public void stop() {
        watcher.stop();
    }

    /** Returns a daemon's record as last seen. */
    public Optional<AuthorityRecord> record(DaemonId daemon) {
        return Optional.ofNullable(records.get(daemon)).map(Versioned::record);
    }

    /**
     * Does what is due.
     *
     * @param reachesStore whether this daemon's own lease is renewed; without, attempts start anew
     */
    public void tick(FleetSnapshot fleet, boolean reachesStore, long now) {
        if (!reachesStore) {
            attempts.clear();
            return;
        }
        records.forEach((daemon, record) -> track(daemon, record, fleet, now));
        if (now - askedNanos < ASK_PERIOD.toNanos()) {
            return;
        }
        askedNanos = now;
        for (Map.Entry<DaemonId, TakeOver> each : attempts.entrySet()) {
            String item = AuthorityRecord.key(each.getKey());
            Optional<DaemonId> chosen = Rendezvous.highest(item, fleet.members().keySet());
            if (chosen.equals(Optional.of(process.daemon()))) {
                each.setValue(ask(each.getValue(), now));
                close(each.getValue(), now);
            }
        }
    }

    /** Takes a witness's answer. */
    public void onFenceReply(DaemonId from, BootId boot, FenceReplyMessage message) {
        DaemonId owner = new DaemonId(message.getOwner());
        TakeOver attempt = attempts.get(owner);
        if (attempt == null || !message.getGiven()) {
            return;
        }
        AuthorityRecord target = attempt.target();
        boolean same = target.run().equals(OwnershipMessages.run(owner, message.getRun()));
        if (same && target.term() == message.getTerm()) {
            attempts.put(owner, attempt.onFenced(new DaemonRun(from, boot)));
        }
    }

    private void track(DaemonId daemon, Versioned seen, FleetSnapshot fleet, long now) {
        boolean isLive = fleet.members().containsKey(daemon);
        if (isLive || seen.record().isClosed()) {
            attempts.remove(daemon);
            return;
        }
        TakeOver attempt = attempts.get(daemon);
        if (attempt == null || attempt.revision() != seen.revision()) {
            attempt = TakeOver.start(times, seen.record(), seen.revision(), now);
        }
        for (MemberRecord each : fleet.members().values()) {
            attempt = attempt.onRunSeen(new DaemonRun(each.daemon(), each.boot()), now);
        }
        attempts.put(daemon, attempt);
    }

    private TakeOver ask(TakeOver attempt, long now) {
        AuthorityRecord target = attempt.target();
        TakeOver next = attempt;
        for (DaemonRun witness : attempt.witnessesToAsk(now)) {
            if (!witness.daemon().equals(process.daemon())) {
                sender.accept(
                        witness.daemon(),
                        OwnershipMessages.fenceRequest(target.run(), target.term()));
            } else if (witness.equals(process) && desk.fence(target.run(), target.term())) {
                next = next.onFenced(witness);
            }
        }
        return next;
    }

    private void close(TakeOver attempt, long now) {
        if (busy || !attempt.mayClose(now)) {
            return;
        }
        busy = true;
        DaemonId daemon = attempt.target().run().daemon();
        AuthorityRecord closed = attempt.target().close();
        byte[] value = AuthorityCodec.encode(closed);
        String key = AuthorityRecord.key(daemon);
        logger.atInfo().log("owner: closing the right of %s", attempt.target().run());
        store.compareAndSet(key, attempt.revision(), value, Optional.empty())
                .emitOn(control)
                .subscribe()
                .with(
                        written -> {
                            busy = false;
                            watcher.written(new StoreEntry(key, written, value));
                        },
                        failure -> busy = false);
    }

    private void onRecords(Map<String, StoreEntry> entries) {
        records.clear();
        for (StoreEntry entry : entries.values()) {
            try {
                AuthorityRecord record = AuthorityCodec.decode(entry.value());
                records.put(record.run().daemon(), new Versioned(record, entry.revision()));
            } catch (MemberException e) {
                logger.atWarning().withCause(e).log("owner: cannot read %s", entry.key());
            }
        }
    }
}
