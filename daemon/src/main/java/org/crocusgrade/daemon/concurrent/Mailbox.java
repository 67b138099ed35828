package org.crocusgrade.daemon.concurrent;

import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs steps one at a time, in the order of their arrival, without a lock.
 *
 * <p>An atomic counter holds the number of steps that are not done. The thread that raises it from
 * 0 submits a drain to the executor, and a drain that leaves steps undone submits the next one, so
 * at most one drain runs at any time. The updates of the counter order the memory effects of the
 * steps.
 */
public final class Mailbox implements Executor {
    /**
     * The maximum number of steps in one drain; the next drain is submitted to the executor anew,
     * so that one mailbox does not occupy a thread for long.
     */
    private static final int MAX_STEPS_PER_DRAIN = 256;

    private final Executor executor;
    private final Queue<Runnable> steps = new ConcurrentLinkedQueue<>();
    private final AtomicInteger remaining = new AtomicInteger();

    /** Creates an empty mailbox whose steps run on the executor. */
    public Mailbox(Executor executor) {
        this.executor = Objects.requireNonNull(executor);
    }

    @Override
    public void execute(Runnable step) {
        steps.add(step);
        if (remaining.getAndIncrement() == 0) {
            executor.execute(this::drain);
        }
    }

    private void drain() {
        int done = 0;
        try {
            while (done < MAX_STEPS_PER_DRAIN) {
                Runnable step = steps.poll();
                if (step == null) {
                    break;
                }
                done++;
                step.run();
            }
        } finally {
            if (remaining.addAndGet(-done) > 0) {
                executor.execute(this::drain);
            }
        }
    }
}
