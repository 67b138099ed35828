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
 * Takes the planner's role of a region when nobody live holds it. Everything here runs on the
 * control thread.
 */
final class RoleHolder {
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
    private boolean known;
    private boolean busy;

    RoleHolder(
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

    /** Returns who holds the role as far as is known. */
    Optional<DaemonId> holder() {
        return record.map(RoleRecord::holder);
    }

    /** Returns the epoch of the last holder known. */
    Epoch epoch() {
        return record.map(RoleRecord::epoch).orElse(Epoch.NONE);
    }

    /** Returns whether this daemon holds the role and its member lease has not lapsed. */
    boolean isHeld() {
        boolean mine =
                record.filter(held -> held.holder().equals(self) && held.boot().equals(boot))
                        .isPresent();
        return mine && session.valid().isPresent();
    }

    /** Takes the role if its holder is gone and this daemon is the next in line. */
    void tick(Map<DaemonId, MemberRecord> members) {
        boolean live = record.filter(held -> held.isHeldBy(members.get(held.holder()))).isPresent();
        if (live || busy || !known || session.valid().isEmpty()) {
            return;
        }
        if (!Rendezvous.highest(key, members.keySet()).equals(Optional.of(self))) {
            return;
        }
        busy = true;
        RoleRecord next = new RoleRecord(self, boot, epoch().next());
        store.compareAndSet(key, revision, next.encode(), Optional.empty())
                .emitOn(control)
                .subscribe()
                .with(
                        written -> {
                            busy = false;
                            logger.atInfo().log("planner: held by %s from now on", self);
                            watcher.written(new StoreEntry(key, written, next.encode()));
                        },
                        failure -> busy = false);
    }

    private void onRecord(Map<String, StoreEntry> entries) {
        known = true;
        StoreEntry entry = entries.get(key);
        revision = entry == null ? KeyValueStore.ABSENT : entry.revision();
        record = entry == null ? Optional.empty() : RoleRecord.decode(entry.value());
    }
}
