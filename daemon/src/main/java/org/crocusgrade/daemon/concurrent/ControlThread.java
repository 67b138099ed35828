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

    /** Starts a thread; steps that come after its shutdown have nobody left to take them. */
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

    /** Runs a step again and again, also after it has failed. */
    public static void every(ScheduledExecutorService thread, Duration period, Runnable step) {
        long nanos = period.toNanos();
        thread.scheduleWithFixedDelay(() -> guard(step), nanos, nanos, TimeUnit.NANOSECONDS);
    }

    /** Runs a step and logs its failure. */
    public static void guard(Runnable step) {
        try {
            step.run();
        } catch (RuntimeException e) {
            logger.atSevere().withCause(e).log("control: step failed");
        }
    }

    /** Waits; ends early when the thread is interrupted. */
    public static void pause(Duration time) {
        try {
            Thread.sleep(time.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
