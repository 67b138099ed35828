package org.crocusgrade.bench.dispatch;

import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import org.apache.commons.rng.simple.RandomSource;
import org.crocusgrade.core.config.ServiceClass;
import org.crocusgrade.core.dispatch.Attempt;
import org.crocusgrade.core.dispatch.DispatchActions;
import org.crocusgrade.core.dispatch.QueueSettings;
import org.crocusgrade.core.dispatch.Request;
import org.crocusgrade.core.dispatch.RunEnd;
import org.crocusgrade.core.dispatch.ServiceQueue;
import org.crocusgrade.core.dispatch.WorkerGrant;

/** Adapter for the daemon's {@link ServiceQueue}. */
public final class QueueDispatcher implements Dispatcher {
    private final ServiceQueue queue;

    private QueueDispatcher(ServiceQueue queue) {
        this.queue = queue;
    }

    /** Returns a factory of queues without quotas. The seed sets the queue's random choices. */
    public static Factory factory(
            ServiceClass serviceClass, int bound, Duration declared, long seed) {
        QueueSettings settings =
                new QueueSettings(
                        serviceClass, bound, declared, true, Map.of(), Optional.empty(), 1);
        return actions -> create(settings, actions, seed);
    }

    private static Dispatcher create(QueueSettings settings, DispatchActions actions, long seed) {
        return new QueueDispatcher(
                new ServiceQueue(settings, actions, RandomSource.XO_RO_SHI_RO_128_PP.create(seed)));
    }

    @Override
    public void offer(Request request, long now) {
        queue.offer(request, now);
    }

    @Override
    public void granted(WorkerGrant grant, long now) {
        queue.granted(grant, now);
    }

    @Override
    public void finished(Attempt attempt, RunEnd end, long now) {
        queue.finished(attempt, end, now);
    }

    @Override
    public void tick(long now) {
        queue.tick(now);
    }

    @Override
    public long nextWakeNanos() {
        return queue.nextWakeNanos();
    }
}
