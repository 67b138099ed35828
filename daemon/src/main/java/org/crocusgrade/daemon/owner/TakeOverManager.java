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
 * Closes the authority records of daemons that have left the member list, on the control thread.
 * One live daemon, chosen by rendezvous hash, requests fences from the witnesses; the others watch
 * for the closed record.
 */
public final class TakeOverManager {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration REQUEST_PERIOD = Duration.ofMillis(500);

    private final DaemonRun process;
    private final OwnershipTimeouts timeouts;
    private final KeyValueStore store;
    private final WitnessService witnessService;
    private final BiConsumer<DaemonId, Envelope> sender;
    private final ScheduledExecutorService control;
    private final PrefixWatcher watcher;
    private final Map<DaemonId, VersionedAuthority> records = new HashMap<>();
    private final Map<DaemonId, TakeOver> attempts = new HashMap<>();
    private boolean closeInProgress;
    private long lastRequestNanos;

    private record VersionedAuthority(AuthorityRecord record, long revision) {}

    /** Creates a manager; {@link #start} starts its watch. */
    public TakeOverManager(
            DaemonRun process,
            OwnershipTimeouts timeouts,
            KeyValueStore store,
            WitnessService witnessService,
            BiConsumer<DaemonId, Envelope> sender,
            ScheduledExecutorService control) {
        this.process = process;
        this.timeouts = timeouts;
        this.store = store;
        this.witnessService = witnessService;
        this.sender = sender;
        this.control = control;
        watcher = new PrefixWatcher(store, AuthorityRecord.PREFIX, control, this::onRecords);
    }

    /** Starts to watch the authority records. */
    public void start() {
        watcher.start();
    }

    /** Stops watching the authority records. */
    public void stop() {
        watcher.stop();
    }

    /** Returns the authority record of a daemon as of the latest watch result, if there is one. */
    public Optional<AuthorityRecord> record(DaemonId daemon) {
        return Optional.ofNullable(records.get(daemon)).map(VersionedAuthority::record);
    }

    /**
     * Updates the take-over attempts, and requests fences and closes records where that is due.
     *
     * @param reachesStore whether this daemon's own member lease is valid; if not, the member list
     *     may be stale and all attempts are discarded
     */
    public void tick(FleetSnapshot fleet, boolean reachesStore, long now) {
        if (!reachesStore) {
            attempts.clear();
            return;
        }
        records.forEach((daemon, record) -> updateAttempt(daemon, record, fleet, now));
        if (now - lastRequestNanos < REQUEST_PERIOD.toNanos()) {
            return;
        }
        lastRequestNanos = now;
        for (Map.Entry<DaemonId, TakeOver> each : attempts.entrySet()) {
            String key = AuthorityRecord.key(each.getKey());
            Optional<DaemonId> responsible = Rendezvous.highest(key, fleet.members().keySet());
            if (responsible.equals(Optional.of(process.daemon()))) {
                each.setValue(requestFences(each.getValue(), now));
                close(each.getValue(), now);
            }
        }
    }

    /**
     * Handles the answer of a witness; ignored unless it granted a fence for the current attempt.
     */
    public void onFenceReply(DaemonId from, BootId boot, FenceReplyMessage message) {
        DaemonId owner = new DaemonId(message.getOwner());
        TakeOver attempt = attempts.get(owner);
        if (attempt == null || !message.getGiven()) {
            return;
        }
        AuthorityRecord target = attempt.target();
        boolean sameProcess = target.run().equals(OwnershipMessages.run(owner, message.getRun()));
        if (sameProcess && target.term() == message.getTerm()) {
            attempts.put(owner, attempt.onFenced(new DaemonRun(from, boot)));
        }
    }

    private void updateAttempt(
            DaemonId daemon, VersionedAuthority versioned, FleetSnapshot fleet, long now) {
        boolean isLive = fleet.members().containsKey(daemon);
        if (isLive || versioned.record().isClosed()) {
            attempts.remove(daemon);
            return;
        }
        TakeOver attempt = attempts.get(daemon);
        if (attempt == null || attempt.revision() != versioned.revision()) {
            attempt = TakeOver.start(timeouts, versioned.record(), versioned.revision(), now);
        }
        for (MemberRecord each : fleet.members().values()) {
            attempt = attempt.onLiveRun(new DaemonRun(each.daemon(), each.boot()), now);
        }
        attempts.put(daemon, attempt);
    }

    private TakeOver requestFences(TakeOver attempt, long now) {
        AuthorityRecord target = attempt.target();
        TakeOver next = attempt;
        for (DaemonRun witness : attempt.witnessesToAsk(now)) {
            if (!witness.daemon().equals(process.daemon())) {
                sender.accept(
                        witness.daemon(),
                        OwnershipMessages.fenceRequest(target.run(), target.term()));
            } else if (witness.equals(process)
                    && witnessService.fence(target.run(), target.term())) {
                next = next.onFenced(witness);
            }
        }
        return next;
    }

    private void close(TakeOver attempt, long now) {
        if (closeInProgress || !attempt.mayClose(now)) {
            return;
        }
        closeInProgress = true;
        DaemonId daemon = attempt.target().run().daemon();
        AuthorityRecord closed = attempt.target().close();
        byte[] value = AuthorityCodec.encode(closed);
        String key = AuthorityRecord.key(daemon);
        logger.atInfo().log("owner: closing the authority record of %s", attempt.target().run());
        store.compareAndSet(key, attempt.revision(), value, Optional.empty())
                .emitOn(control)
                .subscribe()
                .with(
                        written -> {
                            closeInProgress = false;
                            watcher.written(new StoreEntry(key, written, value));
                        },
                        failure -> closeInProgress = false);
    }

    private void onRecords(Map<String, StoreEntry> entries) {
        records.clear();
        for (StoreEntry entry : entries.values()) {
            try {
                AuthorityRecord record = AuthorityCodec.decode(entry.value());
                records.put(
                        record.run().daemon(), new VersionedAuthority(record, entry.revision()));
            } catch (MemberException e) {
                logger.atWarning().withCause(e).log(
                        "owner: cannot decode authority record %s", entry.key());
            }
        }
    }
}
