package org.crocusgrade.daemon.log;

import java.util.Locale;
import java.util.logging.Level;

/** Everything that is logged as a line of its own: code, severity, and what it tells. */
public enum Event {
    /** The process runs. */
    STARTED(100, Level.INFO),
    /** The process is told to stop. */
    STOPPING(101, Level.INFO),
    /** The process ends. */
    STOPPED(102, Level.INFO),
    /** The settings were read again. */
    RELOADED(103, Level.INFO),
    /** A configuration is in force. */
    CONFIG_APPLIED(110, Level.INFO),
    /** Bytes of the operators or of a worker cannot be read. */
    RECORD_UNREADABLE(111, Level.WARNING),
    /** Something this process depends on does not answer. */
    DEPENDENCY_LOST(120, Level.WARNING),
    /** Something this process depends on answers again. */
    DEPENDENCY_REGAINED(121, Level.INFO),
    /** This process holds a duty. */
    DUTY_GAINED(130, Level.INFO),
    /** This process no longer holds a duty. */
    DUTY_LOST(131, Level.WARNING),
    /** The runs of an earlier owner are all accounted for. */
    POOL_SETTLED(132, Level.INFO),
    /** A caller's request was answered. */
    REQUEST_ANSWERED(200, Level.INFO),
    /** A submission is stored. */
    SUBMISSION_ACCEPTED(201, Level.INFO),
    /** A submission was turned away. */
    SUBMISSION_REFUSED(202, Level.INFO),
    /** A submission has ended. */
    SUBMISSION_ENDED(203, Level.INFO),
    /** A run was ordered. */
    RUN_ORDERED(300, Level.INFO),
    /** A run could not be started, or nobody knows. */
    RUN_NOT_STARTED(301, Level.INFO),
    /** A run has ended. */
    RUN_ENDED(302, Level.INFO),
    /** A run is to be stopped. */
    RUN_STOPPED(303, Level.INFO),
    /** The advice service was asked which workers may run a step. */
    ADVICE_TAKEN(304, Level.INFO),
    /** The advice service did not answer. */
    ADVICE_FAILED(305, Level.WARNING),
    /** The share of a run was changed. */
    RUN_PACED(306, Level.INFO),
    /** A worker joined a pool. */
    WORKER_JOINED(310, Level.INFO),
    /** A worker's incarnation is over. */
    WORKER_GONE(311, Level.INFO),
    /** A worker does not answer. */
    WORKER_SILENT(312, Level.WARNING),
    /** The leases of a silent worker's runs have run out. */
    WORKER_LAPSED(313, Level.WARNING),
    /** The fleet's duty was taken over with a note of its last holder. */
    FLEET_TAKEN_OVER(324, Level.INFO),
    /** A pool's queue began to ask for much more than usual. */
    SURGE_STARTED(325, Level.INFO),
    /** A host was moved to another pool. */
    HOST_MOVED(320, Level.INFO),
    /** A host's maintenance has begun. */
    HOST_MAINTAINED(321, Level.INFO),
    /** An order for a host was refused. */
    HOST_REFUSED(322, Level.WARNING),
    /** The state of a wave was written. */
    WAVE_STATUS(323, Level.INFO),
    /** The platform's store did not take a change. */
    STORE_FAILED(400, Level.WARNING),
    /** A failure that nobody expected. */
    UNEXPECTED(500, Level.SEVERE);

    private final int code;
    private final Level level;
    private final String text;

    Event(int code, Level level) {
        this.code = code;
        this.level = level;
        text = name().toLowerCase(Locale.ROOT).replace('_', '-');
    }

    /** Returns the code, which never changes. */
    public int code() {
        return code;
    }

    /** Returns the severity. */
    public Level level() {
        return level;
    }

    /** Returns the name in log lines. */
    public String text() {
        return text;
    }
}
