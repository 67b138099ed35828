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
import org.crocusgrade.core.port.HostControl;
import org.crocusgrade.core.port.PlatformFormat;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.core.port.TransactionalStore;
import org.crocusgrade.core.port.WorkerOrders;
import org.crocusgrade.daemon.control.PrefixWatcher;
import org.crocusgrade.daemon.log.Event;
import org.crocusgrade.daemon.log.EventLog;

/**
 * What all parts of a process share.
 *
 * @param store the platform's store
 * @param orders the way to workers
 * @param hosts the way to the platform's hosts
 * @param advice the advice service
 * @param format how the platform's records read
 * @param clock the time
 * @param random spreads pauses
 * @param loop the one thread on which all of this runs
 * @param log where events go
 * @param limits the platform's bounds
 */
public record Runtime(
        TransactionalStore store,
        WorkerOrders orders,
        HostControl hosts,
        AdviceService advice,
        PlatformFormat format,
        Clock clock,
        RandomGenerator random,
        ScheduledExecutorService loop,
        EventLog log,
        Limits limits) {
    /**
     * How long a watch waits. A connection to the store may fall silent without an end, which only
     * the end of the wait shows, and a configuration must be in force within two seconds.
     */
    private static final Duration WATCH_WAIT = Duration.ofMillis(2000);

    /** Checks the fields. */
    public Runtime {
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

    /** Makes a watcher of a prefix on the loop; the listener's failures are logged, not thrown. */
    PrefixWatcher watcher(
            String prefix, Duration rest, Consumer<Map<String, StoreEntry>> listener) {
        return new PrefixWatcher(
                store,
                prefix,
                loop,
                WATCH_WAIT,
                rest,
                random,
                e -> guard(() -> listener.accept(e)));
    }

    /** Runs a step on the loop after some milliseconds; its failure is logged, not thrown. */
    public void after(long millis, Runnable step) {
        loop.schedule(() -> guard(step), millis, TimeUnit.MILLISECONDS);
    }

    /** Runs a step on the loop again and again; its failure is logged, not thrown. */
    public void every(long millis, Runnable step) {
        loop.scheduleWithFixedDelay(() -> guard(step), millis, millis, TimeUnit.MILLISECONDS);
    }

    /** Runs a step and logs its failure. */
    public void guard(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            StackTraceElement[] trace = e.getStackTrace();
            Object where = trace.length > 0 ? trace[0] : "unknown";
            log.log(Event.UNEXPECTED, "failure", e, "at", where);
        }
    }
}
