package org.crocusgrade.daemon.control;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.core.port.WatchResult;

/**
 * Keeps a copy of the entries under a prefix: reads them all once, then waits for changes, and
 * reads them all again after a failure. The listener gets an immutable copy on the executor.
 */
public final class PrefixWatcher {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration WATCH_WAIT = Duration.ofSeconds(20);
    private static final Duration MIN_PAUSE = Duration.ofMillis(200);
    private static final Duration MAX_PAUSE = Duration.ofSeconds(2);

    private final KeyValueStore store;
    private final String prefix;
    private final Duration wait;
    private final Duration rest;
    private final RandomGenerator random;
    private final ScheduledExecutorService executor;
    private final Consumer<Map<String, StoreEntry>> listener;
    private final Map<String, StoreEntry> entries = new HashMap<>();
    private long revision;
    private int failures;
    private boolean stopped;

    /** Makes a watcher that takes each change at once; {@link #start} makes it read. */
    public PrefixWatcher(
            KeyValueStore store,
            String prefix,
            ScheduledExecutorService executor,
            Consumer<Map<String, StoreEntry>> listener) {
        this(
                store,
                prefix,
                executor,
                WATCH_WAIT,
                Duration.ZERO,
                ThreadLocalRandom.current(),
                listener);
    }

    /**
     * Makes a watcher; {@link #start} makes it read.
     *
     * @param wait how long one watch waits; a connection that falls silent is found after that
     * @param rest the pause after a change before the next watch, so that busy prefixes cost few
     *     calls
     * @param random spreads the pauses after failures
     */
    public PrefixWatcher(
            KeyValueStore store,
            String prefix,
            ScheduledExecutorService executor,
            Duration wait,
            Duration rest,
            RandomGenerator random,
            Consumer<Map<String, StoreEntry>> listener) {
        this.wait = Objects.requireNonNull(wait);
        this.rest = Objects.requireNonNull(rest);
        this.random = Objects.requireNonNull(random);
        this.store = Objects.requireNonNull(store);
        this.prefix = Objects.requireNonNull(prefix);
        this.executor = Objects.requireNonNull(executor);
        this.listener = Objects.requireNonNull(listener);
    }

    /** Starts to read and watch. */
    public void start() {
        executor.execute(
                () -> {
                    stopped = false;
                    list();
                });
    }

    /** Ends the watch; the listener is not called again. */
    public void stop() {
        executor.execute(() -> stopped = true);
    }

    /** Takes an entry that this daemon has written itself, ahead of the watch. */
    public void written(StoreEntry entry) {
        StoreEntry held = entries.get(entry.key());
        if (held == null || held.revision() < entry.revision()) {
            entries.put(entry.key(), entry);
            publish();
        }
    }

    private void list() {
        if (stopped) {
            return;
        }
        store.snapshot(prefix).emitOn(executor).subscribe().with(this::onList, this::onFailure);
    }

    private void onList(WatchResult found) {
        failures = 0;
        entries.clear();
        for (StoreEntry entry : found.changed()) {
            entries.put(entry.key(), entry);
        }
        revision = Math.max(revision, found.revision());
        publish();
        watch();
    }

    private void watch() {
        if (stopped) {
            return;
        }
        store.watch(prefix, revision, wait)
                .emitOn(executor)
                .subscribe()
                .with(this::onChange, this::onFailure);
    }

    private void onChange(WatchResult result) {
        revision = Math.max(revision, result.revision());
        boolean changed = false;
        for (String key : result.deleted()) {
            changed |= entries.remove(key) != null;
        }
        for (StoreEntry entry : result.changed()) {
            StoreEntry held = entries.get(entry.key());
            if (held == null || held.revision() < entry.revision()) {
                entries.put(entry.key(), entry);
                changed = true;
            }
        }
        if (changed) {
            publish();
        }
        if (rest.isZero()) {
            watch();
            return;
        }
        executor.schedule(this::watch, rest.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void publish() {
        if (!stopped) {
            listener.accept(Map.copyOf(entries));
        }
    }

    private void onFailure(Throwable failure) {
        logger.atFine().log("watch: %s failed: %s", prefix, failure.getMessage());
        failures = Math.min(failures + 1, Integer.SIZE - 1);
        long most = Math.min(MAX_PAUSE.toMillis(), MIN_PAUSE.toMillis() << Math.min(failures, 8));
        long pause = random.nextLong(MIN_PAUSE.toMillis(), most + 1);
        executor.schedule(this::list, pause, TimeUnit.MILLISECONDS);
    }
}
