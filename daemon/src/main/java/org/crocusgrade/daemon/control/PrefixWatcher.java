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
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.ClockReading;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.core.port.WatchResult;
import org.crocusgrade.daemon.concurrent.Failures;

/**
 * Maintains a copy of the entries under a prefix: lists them all once, then watches for changes,
 * and lists them all again after a failure. The listener receives an immutable copy on the
 * executor.
 */
public final class PrefixWatcher {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration WATCH_WAIT = Duration.ofSeconds(20);
    private static final Duration MIN_RETRY_PAUSE = Duration.ofMillis(200);
    private static final Duration MAX_RETRY_PAUSE = Duration.ofSeconds(2);

    private final KeyValueStore store;
    private final String prefix;
    private final Duration wait;
    private final Duration pauseBetweenWatches;
    private final RandomGenerator random;
    private final ScheduledExecutorService executor;
    private final Consumer<Map<String, StoreEntry>> listener;
    private final Clock clock;
    private final Consumer<ClockReading> confirmed;
    private final Map<String, StoreEntry> entries = new HashMap<>();
    private long revision;
    private int failures;
    private boolean stopped;

    /** Creates a watcher without a pause between watch calls; {@link #start} starts it. */
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
                listener,
                Clock.system(),
                r -> {});
    }

    /**
     * Creates a watcher; {@link #start} starts it.
     *
     * @param wait maximum duration of one watch call, after which a connection that no longer
     *     responds is detected
     * @param pauseBetweenWatches the pause after a watch call before the next one, which limits the
     *     calls for a prefix that changes often
     * @param random varies the pauses after failures
     * @param clock measures when calls are sent
     * @param confirmed receives, for each list or watch that succeeded, the time before it was
     *     sent, after the listener has received the changes that it found. All entries that the
     *     store had acknowledged by that time are then known, as the store's lists and watches are
     *     linearizable unless they request otherwise, which this class does not.
     */
    public PrefixWatcher(
            KeyValueStore store,
            String prefix,
            ScheduledExecutorService executor,
            Duration wait,
            Duration pauseBetweenWatches,
            RandomGenerator random,
            Consumer<Map<String, StoreEntry>> listener,
            Clock clock,
            Consumer<ClockReading> confirmed) {
        this.wait = Objects.requireNonNull(wait);
        this.pauseBetweenWatches = Objects.requireNonNull(pauseBetweenWatches);
        this.random = Objects.requireNonNull(random);
        this.store = Objects.requireNonNull(store);
        this.prefix = Objects.requireNonNull(prefix);
        this.executor = Objects.requireNonNull(executor);
        this.listener = Objects.requireNonNull(listener);
        this.clock = Objects.requireNonNull(clock);
        this.confirmed = Objects.requireNonNull(confirmed);
    }

    /** Starts to list and watch. */
    public void start() {
        executor.execute(
                () -> {
                    stopped = false;
                    list();
                });
    }

    /** Stops the watch; the listener is not called again. */
    public void stop() {
        executor.execute(() -> stopped = true);
    }

    /**
     * Applies an entry that this daemon has written, before the watch returns it. Must be called on
     * the executor.
     */
    public void written(StoreEntry entry) {
        StoreEntry current = entries.get(entry.key());
        if (current == null || current.revision() < entry.revision()) {
            entries.put(entry.key(), entry);
            publish();
        }
    }

    private void list() {
        if (stopped) {
            return;
        }
        ClockReading sent = ClockReading.of(clock);
        store.snapshot(prefix)
                .emitOn(executor)
                .subscribe()
                .with(r -> onList(sent, r), this::onFailure);
    }

    private void onList(ClockReading sent, WatchResult found) {
        failures = 0;
        entries.clear();
        for (StoreEntry entry : found.changed()) {
            entries.put(entry.key(), entry);
        }
        revision = Math.max(revision, found.revision());
        publish();
        confirm(sent);
        watch();
    }

    private void watch() {
        if (stopped) {
            return;
        }
        ClockReading sent = ClockReading.of(clock);
        store.watch(prefix, revision, wait)
                .emitOn(executor)
                .subscribe()
                .with(r -> onChange(sent, r), this::onFailure);
    }

    private void onChange(ClockReading sent, WatchResult result) {
        revision = Math.max(revision, result.revision());
        boolean changed = false;
        for (String key : result.deleted()) {
            changed |= entries.remove(key) != null;
        }
        for (StoreEntry entry : result.changed()) {
            StoreEntry current = entries.get(entry.key());
            if (current == null || current.revision() < entry.revision()) {
                entries.put(entry.key(), entry);
                changed = true;
            }
        }
        if (changed) {
            publish();
        }
        confirm(sent);
        if (pauseBetweenWatches.isZero()) {
            watch();
            return;
        }
        executor.schedule(this::watch, pauseBetweenWatches.toMillis(), TimeUnit.MILLISECONDS);
    }

    private void publish() {
        if (!stopped) {
            callListener(() -> listener.accept(Map.copyOf(entries)));
        }
    }

    private void confirm(ClockReading sent) {
        if (!stopped) {
            callListener(() -> confirmed.accept(sent));
        }
    }

    /** Calls a listener; its failure must not end the watch. */
    private void callListener(Runnable call) {
        Failures.guard(
                call,
                e -> logger.atSevere().withCause(e).log("watch: listener of %s failed", prefix));
    }

    private void onFailure(Throwable failure) {
        logger.atFine().log(
                "watch: cannot list or watch prefix %s: %s", prefix, failure.getMessage());
        failures = Math.min(failures + 1, Integer.SIZE - 1);
        long maxMillis =
                Math.min(
                        MAX_RETRY_PAUSE.toMillis(),
                        MIN_RETRY_PAUSE.toMillis() << Math.min(failures, 8));
        long pauseMillis = random.nextLong(MIN_RETRY_PAUSE.toMillis(), maxMillis + 1);
        executor.schedule(this::list, pauseMillis, TimeUnit.MILLISECONDS);
    }
}
