package org.crocusgrade.daemon.concurrent;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledThreadPoolExecutor;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;

/** Single threads for work that must run one step at a time. */
public final class ControlThread {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private ControlThread() {}

    /**
     * Starts a thread. Steps that are submitted after its shutdown are silently discarded, because
     * no thread is left to run them.
     */
    public static ScheduledExecutorService start(String name) {
        return new ScheduledThreadPoolExecutor(
                1,
                step -> {
                    Thread thread = new Thread(() -> guard(step), name);
                    thread.setDaemon(true);
                    return thread;
                },
                new ThreadPoolExecutor.DiscardPolicy());
    }

    /**
     * Runs a step repeatedly with the period as the delay between runs; a step that fails does not
     * end the repetition.
     */
    public static void every(ScheduledExecutorService thread, Duration period, Runnable step) {
        long nanos = period.toNanos();
        thread.scheduleWithFixedDelay(() -> guard(step), nanos, nanos, TimeUnit.NANOSECONDS);
    }

    /** Runs a step; a failure that the daemon survives is logged and not thrown. */
    public static void guard(Runnable step) {
        Failures.guard(step, e -> logger.atSevere().withCause(e).log("control: step failed"));
    }

    /** Sleeps; returns early, with the interrupt flag set, if the thread is interrupted. */
    public static void pause(Duration time) {
        try {
            Thread.sleep(time.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
