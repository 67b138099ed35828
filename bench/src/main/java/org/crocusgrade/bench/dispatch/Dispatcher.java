package org.crocusgrade.bench.dispatch;

import org.crocusgrade.core.dispatch.Attempt;
import org.crocusgrade.core.dispatch.DispatchActions;
import org.crocusgrade.core.dispatch.Request;
import org.crocusgrade.core.dispatch.RunEnd;
import org.crocusgrade.core.dispatch.WorkerGrant;

/** What the driver needs of a dispatcher, so that two can be compared on one schedule. */
public interface Dispatcher {
    /** Takes a request. */
    void offer(Request request, long now);

    /** Takes slots. */
    void granted(WorkerGrant grant, long now);

    /** Takes the end of an attempt. */
    void finished(Attempt attempt, RunEnd end, long now);

    /** Does what is due by time. */
    void tick(long now);

    /** Returns when a tick is due. */
    long nextWakeNanos();

    /** Makes a dispatcher. */
    interface Factory {
        /** Returns a dispatcher that calls these actions. */
        Dispatcher create(DispatchActions actions);
    }
}
