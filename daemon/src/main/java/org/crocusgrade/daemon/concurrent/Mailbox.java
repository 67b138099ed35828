package org.crocusgrade.daemon.concurrent;

import java.util.Objects;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.Executor;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Runs steps one at a time, in the order of their arrival, without a lock.
 *
 * <p>An atomic counts the steps not yet done. Whoever raises it from 0 hands the drain to the
 * executor, so at most one drain runs at any moment; a drain goes on until it has taken the count
 * back to 0. The atomic's updates order the steps' memory effects.
 */
public final class Mailbox implements Executor {
    /** Steps after which a drain yields its thread. */
    private static final int BATCH = 256;

    private final Executor executor;
    private final Queue<Runnable> steps = new ConcurrentLinkedQueue<>();
    private final AtomicInteger count = new AtomicInteger();

    /** Makes an empty mailbox whose steps run on the executor. */
    public Mailbox(Executor executor) {
        this.executor = Objects.requireNonNull(executor);
    }

    @Override
    public void execute(Runnable step) {
        steps.add(step);
        if (count.getAndIncrement() == 0) {
            executor.execute(this::drain);
        }
    }

    private void drain() {
        int done = 0;
        try {
            while (done < BATCH) {
                Runnable step = steps.poll();
                if (step == null) {
                    break;
                }
                done++;
                step.run();
            }
        } finally {
            if (count.addAndGet(-done) > 0) {
                executor.execute(this::drain);
            }
        }
    }
}
