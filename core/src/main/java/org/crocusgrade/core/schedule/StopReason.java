package org.crocusgrade.core.schedule;

import java.util.Locale;

/** Why a run is stopped. */
public enum StopReason {
    /** The submission has ended, or another member of the gang has completed. */
    ENDED,
    /** Another run has completed the task. */
    OTHER_RUN_DONE,
    /** The start order got no answer, so it is unknown whether the run has begun. */
    UNANSWERED_START,
    /** The run makes no progress. */
    STALLED,
    /** The worker is about to leave. */
    DRAINING,
    /** The worker is being emptied, so that its host can be moved or maintained. */
    EVACUATED,
    /** Another member of the gang could not start. */
    GANG_INCOMPLETE,
    /** The worker reports a run that this owner does not want. */
    UNWANTED;

    /** Returns the name in log lines. */
    public String text() {
        return name().toLowerCase(Locale.ROOT).replace('_', '-');
    }
}
