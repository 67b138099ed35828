package org.crocusgrade.core.schedule;

import java.util.Optional;
import org.crocusgrade.core.submission.Resources;

/** Limits what the submissions of a customer may have running in a pool. */
public interface StartLimits {
    /** Limits nothing. */
    StartLimits NONE =
            new StartLimits() {
                @Override
                public boolean mayStart(TrackedSubmission submission, Resources demand) {
                    return true;
                }

                @Override
                public Optional<Resources> limit(TrackedSubmission submission) {
                    return Optional.empty();
                }
            };

    /**
     * Returns whether tasks of a submission may start now beside what its customer has running.
     *
     * @param demand what the tasks need together
     */
    boolean mayStart(TrackedSubmission submission, Resources demand);

    /** Returns the limit of a submission's customer in this pool, if it has one. */
    Optional<Resources> limit(TrackedSubmission submission);
}
