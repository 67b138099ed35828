package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.crocusgrade.core.port.AdviceService;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.ClockReading;
import org.crocusgrade.core.port.HostControl;
import org.crocusgrade.core.port.PlatformFormat;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.core.port.TransactionalStore;
import org.crocusgrade.core.port.WorkerOrders;
import org.crocusgrade.daemon.concurrent.Failures;
import org.crocusgrade.daemon.control.PrefixWatcher;
import org.crocusgrade.daemon.log.Event;
import org.crocusgrade.daemon.log.EventLog;

/**
 * The services that all components of batch scheduling in a process share.
 *
 * @param store the store of the platform
 * @param orders sends orders to workers
 * @param hosts lists, moves and maintains the hosts of the platform
 * @param advice the advice service
 * @param format decodes the records of the platform
 * @param clock the time source
 * @param random source of jitter for delays
 * @param loop the single thread on which all components run
 * @param log receives the events
 * @param limits limits that the settings of the platform prescribe
 */
public record BatchRuntime(
        TransactionalStore store,
        WorkerOrders orders,
        HostControl hosts,
        AdviceService advice,
        PlatformFormat format,
        Clock clock,
        RandomGenerator random,
        ScheduledExecutorService loop,
        EventLog log,
        PlatformLimits limits) {
    /**
     * How long a watch waits. A connection to the store may go silent without being closed, which
     * shows only when the wait ends, and a configuration must be in force within two seconds.
     */
    private static final Duration WATCH_WAIT = Duration.ofMillis(2000);

    /**
     * Watches of the operators' entries within the bound for revoked keys: a view is then at most a
     * fifth of the bound old, and a few watches may fail before it is too old.
     */
    private static final int CONFIRMATIONS_PER_REVOCATION = 10;

    /** Limits the watches per second if the bound for revoked keys is very short. */
    private static final Duration MIN_WATCH_WAIT = Duration.ofMillis(50);

    /** Rejects null fields, except the advice service. */
    public BatchRuntime {
        Objects.requireNonNull(store);
        Objects.requireNonNull(orders);
        Objects.requireNonNull(hosts);
        Objects.requireNonNull(format);
        Objects.requireNonNull(clock);
        Objects.requireNonNull(random);
        Objects.requireNonNull(loop);
        Objects.requireNonNull(log);
        Objects.requireNonNull(limits);
    }

    /**
     * Creates a watcher of a prefix that calls the listener on the loop; exceptions of the listener
     * are logged.
     */
    PrefixWatcher watcher(
            String prefix, Duration rest, Consumer<Map<String, StoreEntry>> listener) {
        return watcher(prefix, WATCH_WAIT, rest, listener, r -> {});
    }

    /**
     * Creates a watcher of the operators' entries, which also reports when they were confirmed. If
     * keys must be revoked within a bound, its watches end often enough to confirm the keys several
     * times within the bound.
     */
    PrefixWatcher operatorWatcher(
            Consumer<Map<String, StoreEntry>> listener, Consumer<ClockReading> confirmed) {
        Duration wait =
                limits.customers().keyRevocation().map(BatchRuntime::waitFor).orElse(WATCH_WAIT);
        return watcher(format.operatorPrefix(), wait, Duration.ZERO, listener, confirmed);
    }

    private static Duration waitFor(Duration revocation) {
        Duration wait = revocation.dividedBy(CONFIRMATIONS_PER_REVOCATION);
        if (wait.compareTo(WATCH_WAIT) > 0) {
            return WATCH_WAIT;
        }
        return wait.compareTo(MIN_WATCH_WAIT) > 0 ? wait : MIN_WATCH_WAIT;
    }

    private PrefixWatcher watcher(
            String prefix,
            Duration wait,
            Duration rest,
            Consumer<Map<String, StoreEntry>> listener,
            Consumer<ClockReading> confirmed) {
        return new PrefixWatcher(
                store,
                prefix,
                loop,
                wait,
                rest,
                random,
                e -> guard(() -> listener.accept(e)),
                clock,
                r -> guard(() -> confirmed.accept(r)));
    }

    /** Runs a step on the loop after a delay in milliseconds; its exceptions are logged. */
    public void after(long millis, Runnable step) {
        loop.schedule(() -> guard(step), millis, TimeUnit.MILLISECONDS);
    }

    /**
     * Runs a step on the loop repeatedly, with a fixed delay in milliseconds; its exceptions are
     * logged.
     */
    public void every(long millis, Runnable step) {
        loop.scheduleWithFixedDelay(() -> guard(step), millis, millis, TimeUnit.MILLISECONDS);
    }

    /** Runs a step and logs the failures that the daemon survives. */
    public void guard(Runnable step) {
        Failures.guard(step, this::logUnexpected);
    }

    private void logUnexpected(Throwable failure) {
        StackTraceElement[] trace = failure.getStackTrace();
        Object where = trace.length > 0 ? trace[0] : "unknown";
        log.log(Event.UNEXPECTED, "failure", failure, "at", where);
    }
}
