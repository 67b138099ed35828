package org.crocusgrade.daemon.planner;

import com.google.common.flogger.FluentLogger;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.Epoch;
import org.crocusgrade.core.id.Region;
import org.crocusgrade.core.member.MemberRecord;
import org.crocusgrade.core.member.Rendezvous;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.daemon.control.MemberSession;
import org.crocusgrade.daemon.control.PrefixWatcher;

/**
 * Acquires the planner role of a region when its holder is no longer a live member. Runs on the
 * control thread.
 */
final class RoleElection {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final DaemonId self;
    private final BootId boot;
    private final String key;
    private final KeyValueStore store;
    private final MemberSession session;
    private final ScheduledExecutorService control;
    private final PrefixWatcher watcher;
    private Optional<RoleRecord> record = Optional.empty();
    private long revision = KeyValueStore.ABSENT;
    private boolean recordRead;
    private boolean writeInProgress;

    RoleElection(
            DaemonId self,
            BootId boot,
            Region region,
            KeyValueStore store,
            MemberSession session,
            ScheduledExecutorService control) {
        this.self = self;
        this.boot = boot;
        this.key = "planner/" + region.value();
        this.store = store;
        this.session = session;
        this.control = control;
        watcher = new PrefixWatcher(store, key, control, this::onRecord);
    }

    void start() {
        watcher.start();
    }

    void stop() {
        watcher.stop();
    }

    /** Returns the holder of the role as of the latest record read. */
    Optional<DaemonId> holder() {
        return record.map(RoleRecord::holder);
    }

    /** Returns the epoch of the latest record read, or {@link Epoch#NONE}. */
    Epoch epoch() {
        return record.map(RoleRecord::epoch).orElse(Epoch.NONE);
    }

    /** Returns whether this process holds the role and its member lease has not expired. */
    boolean isHeld() {
        boolean heldByThisProcess =
                record.filter(
                                current ->
                                        current.holder().equals(self)
                                                && current.boot().equals(boot))
                        .isPresent();
        return heldByThisProcess && session.valid().isPresent();
    }

    /**
     * Acquires the role if its holder is not a live member and this daemon has the highest
     * rendezvous hash for it.
     */
    void tick(Map<DaemonId, MemberRecord> members) {
        boolean holderIsLive =
                record.filter(current -> current.isHeldBy(members.get(current.holder())))
                        .isPresent();
        if (holderIsLive || writeInProgress || !recordRead || session.valid().isEmpty()) {
            return;
        }
        if (!Rendezvous.highest(key, members.keySet()).equals(Optional.of(self))) {
            return;
        }
        writeInProgress = true;
        RoleRecord next = new RoleRecord(self, boot, epoch().next());
        store.compareAndSet(key, revision, next.encode(), Optional.empty())
                .emitOn(control)
                .subscribe()
                .with(
                        written -> {
                            writeInProgress = false;
                            logger.atInfo().log("planner: role acquired by %s", self);
                            watcher.written(new StoreEntry(key, written, next.encode()));
                        },
                        failure -> writeInProgress = false);
    }

    private void onRecord(Map<String, StoreEntry> entries) {
        recordRead = true;
        StoreEntry entry = entries.get(key);
        revision = entry == null ? KeyValueStore.ABSENT : entry.revision();
        record = entry == null ? Optional.empty() : RoleRecord.decode(entry.value());
    }
}
