package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.FormatException;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.core.port.WorkerEntry;
import org.crocusgrade.daemon.concurrent.Failures;
import org.crocusgrade.daemon.control.PrefixWatcher;
import org.crocusgrade.daemon.log.Event;

/**
 * The workers that are registered in the platform's store, kept current by one watch while this
 * daemon owns a pool. Registrations change with each heartbeat, so the watch pauses between
 * changes.
 */
final class WorkerRegistry {
    /**
     * Pause between watches. A worker that joins takes tasks only once the watch has shown it, so
     * the pause is short compared with the time that a host takes to move.
     */
    private static final Duration WATCH_PAUSE = Duration.ofMillis(150);

    private final BatchRuntime runtime;
    private final PrefixWatcher watcher;
    private final Runnable onChange;
    private Map<String, Registration> registrations = Map.of();
    private Map<WorkerId, WorkerEntry> workers = Map.of();
    private boolean watching;

    WorkerRegistry(BatchRuntime runtime, Runnable onChange) {
        this.runtime = runtime;
        this.onChange = onChange;
        watcher =
                runtime.watcher(
                        runtime.format().workerPrefix(), WATCH_PAUSE, e -> onEntries(e.values()));
    }

    /** Starts or stops the watch. */
    void setWatching(boolean wanted) {
        if (wanted == watching) {
            return;
        }
        watching = wanted;
        if (wanted) {
            watcher.start();
        } else {
            watcher.stop();
        }
    }

    Map<WorkerId, WorkerEntry> workers() {
        return workers;
    }

    /**
     * Reads the list again, so that the registered workers are no older than the call. Calls
     * exactly one of the two.
     */
    void refresh(Runnable then, Consumer<Throwable> onFailure) {
        runtime.store()
                .list(runtime.format().workerPrefix())
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        entries ->
                                Failures.guard(
                                        () -> {
                                            onEntries(entries);
                                            then.run();
                                        },
                                        onFailure),
                        onFailure);
    }

    /** Decodes the entries that have changed; the others are kept as decoded before. */
    private void onEntries(Collection<StoreEntry> entries) {
        Map<WorkerId, WorkerEntry> found = new TreeMap<>();
        Map<String, Registration> current = new HashMap<>();
        for (StoreEntry entry : entries) {
            Registration known = registrations.get(entry.key());
            boolean unchanged = known != null && known.revision == entry.revision();
            Registration registration = unchanged ? known : decode(entry);
            current.put(entry.key(), registration);
            registration.worker.ifPresent(w -> found.put(w.worker(), w));
        }
        registrations = current;
        workers = Collections.unmodifiableMap(found);
        runtime.guard(onChange);
    }

    /** Decodes an entry; whatever an entry of another writer causes, the others are still read. */
    private Registration decode(StoreEntry entry) {
        try {
            return new Registration(entry.revision(), Optional.of(runtime.format().worker(entry)));
        } catch (FormatException | RuntimeException | StackOverflowError e) {
            runtime.log().log(Event.RECORD_UNREADABLE, "key", entry.key(), "cause", e);
            return new Registration(entry.revision(), Optional.empty());
        }
    }

    /**
     * A decoded entry.
     *
     * @param revision the revision of the entry
     * @param worker the worker; empty if the entry cannot be read
     */
    private record Registration(long revision, Optional<WorkerEntry> worker) {}
}
