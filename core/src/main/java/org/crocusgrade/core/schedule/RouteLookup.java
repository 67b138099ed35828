package org.crocusgrade.core.schedule;

import org.crocusgrade.core.config.QueueRoute;

/** Finds the queue of a submission as it is, or was before the queue was removed. */
@FunctionalInterface
public interface RouteLookup {
    /** Returns the queue. */
    QueueRoute route(TrackedSubmission submission);
}
