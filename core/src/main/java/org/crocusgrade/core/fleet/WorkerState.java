package org.crocusgrade.core.fleet;

/** What a worker's owner lets happen on it. */
public enum WorkerState {
    /** Serves its pool. */
    SERVING,
    /** Gets no new work; running work ends, then the worker moves or is maintained. */
    DRAINING,
    /** Drained and handed to the platform for a reboot. */
    MAINTENANCE,
    /** Taken out by its owner because it fails what it starts. */
    QUARANTINED
}
