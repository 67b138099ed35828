package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.FormatException;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.core.port.WorkerEntry;
import org.crocusgrade.daemon.control.PrefixWatcher;
import org.crocusgrade.daemon.log.Event;

/**
 * The workers that are registered in the platform's store, kept current by one watch while this
 * daemon owns a pool. Registrations change with each heartbeat, so the watch pauses between
 * changes.
 */
final class WorkerRegistry {
    /** Pause between watches: a small part of the time that remains to a draining worker. */
    private static final Duration WATCH_PAUSE = Duration.ofMillis(600);

    private final BatchRuntime runtime;
    private final PrefixWatcher watcher;
    private final Runnable onChange;
    private final Map<String, Long> unreadable = new HashMap<>();
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

    /** Reads the list again, so that the registered workers are no older than the call. */
    void refresh(Runnable then, Consumer<Throwable> onFailure) {
        runtime.store()
                .list(runtime.format().workerPrefix())
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        entries ->
                                runtime.guard(
                                        () -> {
                                            onEntries(entries);
                                            then.run();
                                        }),
                        onFailure);
    }

    private void onEntries(Collection<StoreEntry> entries) {
        Map<WorkerId, WorkerEntry> found = new TreeMap<>();
        List<StoreEntry> unparsable = new ArrayList<>();
        for (StoreEntry entry : entries) {
            try {
                WorkerEntry worker = runtime.format().worker(entry);
                found.put(worker.worker(), worker);
            } catch (FormatException e) {
                unparsable.add(entry);
                if (!Long.valueOf(entry.revision()).equals(unreadable.get(entry.key()))) {
                    runtime.log().log(Event.RECORD_UNREADABLE, "key", entry.key(), "cause", e);
                }
            }
        }
        unreadable.clear();
        unparsable.forEach(e -> unreadable.put(e.key(), e.revision()));
        workers = Collections.unmodifiableMap(found);
        onChange.run();
    }
}
