package org.crocusgrade.core.fleet;

/** The service state of a worker, set by its owner. */
public enum WorkerState {
    /** Serves its pool. */
    SERVING,
    /**
     * Gets no new work; once running work has ended, the worker is moved to another pool or
     * maintained.
     */
    DRAINING,
    /** Drained and released to the platform for a reboot. */
    MAINTENANCE,
    /** Excluded by its owner because requests that are started on it fail. */
    QUARANTINED
}
