package org.crocusgrade.bench.fault;

import java.time.Duration;
import java.util.Objects;

/**
 * A fault of a schedule.
 *
 * @param kind what fails
 * @param target the index of the daemon or worker, from 0; not used for the platform
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
        /** A daemon's process is killed, and started again after the fault's length. */
        DAEMON_KILLED(Component.DAEMON),
        /** A daemon's process is suspended, and resumed after the fault's length. */
        DAEMON_PAUSED(Component.DAEMON),
        /** The platform's key-value service closes every connection. */
        SERVICE_DOWN(Component.SERVICE),
        /** The platform's key-value service answers with a delay. */
        SERVICE_SLOW(Component.SERVICE),
        /** The platform's key-value service drops answers after the write took effect. */
        SERVICE_LOSES_ANSWERS(Component.SERVICE),
        /** The host list closes every connection. */
        HOSTS_DOWN(Component.HOSTS),
        /** A worker fails every request that it starts. */
        WORKER_FAILS(Component.WORKER),
        /** A worker's answers carry another request's id. */
        WORKER_ANSWERS_OTHER(Component.WORKER),
        /** A worker's answers are truncated. */
        WORKER_CUTS_ANSWERS(Component.WORKER),
        /** A worker starts requests and never answers. */
        WORKER_STALLS(Component.WORKER),
        /** A worker's host goes down and comes back. */
        WORKER_DOWN(Component.WORKER);

        private final Component component;

        Kind(Component component) {
            this.component = component;
        }

        /** Returns the component that fails. */
        public Component component() {
            return component;
        }
    }

    /** The component of the system that fails. */
    public enum Component {
        /** A daemon. */
        DAEMON,
        /** The platform's key-value service. */
        SERVICE,
        /** The platform's host list. */
        HOSTS,
        /** A worker. */
        WORKER
    }

    /** Returns when it ends. */
    public Duration end() {
        return start.plus(length);
    }
}
