package org.crocusgrade.bench.dispatch;

import org.crocusgrade.core.dispatch.Attempt;
import org.crocusgrade.core.dispatch.DispatchActions;
import org.crocusgrade.core.dispatch.Request;
import org.crocusgrade.core.dispatch.RunEnd;
import org.crocusgrade.core.dispatch.WorkerGrant;

/**
 * A dispatcher as {@link DispatchSimulator} drives it, so that two implementations can be compared
 * on one schedule. All times are nanoseconds of the simulated clock.
 */
public interface Dispatcher {
    /** Queues, starts or answers a new request. */
    void offer(Request request, long now);

    /** Takes a grant of slots on a worker. */
    void granted(WorkerGrant grant, long now);

    /** Handles the end of an attempt, whose slot is free again. */
    void finished(Attempt attempt, RunEnd end, long now);

    /** Handles time-outs that are due. */
    void tick(long now);

    /** Returns when the next tick is due; {@link Long#MAX_VALUE} if none is. */
    long nextWakeNanos();

    /** Creates dispatchers. */
    interface Factory {
        /** Returns a dispatcher that starts and answers requests through the given actions. */
        Dispatcher create(DispatchActions actions);
    }
}
