package org.crocusgrade.core.schedule;

import org.crocusgrade.core.config.QueueRoute;

/**
 * Finds the current route of a submission's queue, or the last one if the queue has been removed.
 */
@FunctionalInterface
public interface RouteLookup {
    QueueRoute route(TrackedSubmission submission);
}
