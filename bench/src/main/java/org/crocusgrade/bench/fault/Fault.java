package org.crocusgrade.bench.fault;

import java.time.Duration;
import java.util.Objects;

/**
 * One fault of a schedule.
 *
 * @param kind what fails
 * @param target which daemon or worker, by number; not used for the platform
 * @param start when it begins
 * @param length how long it lasts
 */
public record Fault(Kind kind, int target, Duration start, Duration length) {
    /** Checks the fields. */
    public Fault {
        Objects.requireNonNull(kind);
        Objects.requireNonNull(start);
        Objects.requireNonNull(length);
    }

    /** What fails. */
    public enum Kind {
        /** A daemon is killed, and started again after the fault's length. */
        DAEMON_KILLED(Place.DAEMON),
        /** A daemon's process is halted, and goes on after the fault's length. */
        DAEMON_PAUSED(Place.DAEMON),
        /** The platform's service closes every connection. */
        SERVICE_DOWN(Place.SERVICE),
        /** The platform's service answers late. */
        SERVICE_SLOW(Place.SERVICE),
        /** The platform's service loses answers after the write took effect. */
        SERVICE_LOSES_ANSWERS(Place.SERVICE),
        /** The host list closes every connection. */
        HOSTS_DOWN(Place.HOSTS),
        /** A worker fails everything that it starts. */
        WORKER_FAILS(Place.WORKER),
        /** A worker's answers carry another request's id. */
        WORKER_ANSWERS_OTHER(Place.WORKER),
        /** A worker's answers break off. */
        WORKER_CUTS_ANSWERS(Place.WORKER),
        /** A worker starts requests and never answers. */
        WORKER_STALLS(Place.WORKER),
        /** A worker's host goes down and comes back. */
        WORKER_DOWN(Place.WORKER);

        private final Place place;

        Kind(Place place) {
            this.place = place;
        }

        /** Returns where it happens. */
        public Place place() {
            return place;
        }
    }

    /** Where a fault happens. */
    public enum Place {
        /** At a daemon. */
        DAEMON,
        /** At the platform's key-value service. */
        SERVICE,
        /** At the platform's host list. */
        HOSTS,
        /** At a worker. */
        WORKER
    }

    /** Returns when it ends. */
    public Duration end() {
        return start.plus(length);
    }
}
