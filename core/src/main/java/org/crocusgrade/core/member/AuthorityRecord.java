package org.crocusgrade.core.member;

import java.util.Objects;
import org.crocusgrade.core.id.DaemonId;

/**
 * A daemon's authority to own racks, stored at {@code authority/<daemon>} in the platform's
 * service. The record is not deleted when the daemon's lease ends. The daemon writes it with a
 * higher term whenever its lease or its witness set changes; another daemon writes it only to close
 * it, once the conditions of {@link TakeOver} are met. Each write is a compare-and-swap, so of a
 * renewal and a concurrent closing only one succeeds.
 *
 * @param run the run that holds the authority
 * @param term increases with each write by the daemon
 * @param state whether the run may own racks
 * @param witnesses the runs whose promises and fences count for this term
 */
public record AuthorityRecord(DaemonRun run, long term, State state, WitnessSet witnesses) {
    /** Key prefix of all authority records. */
    public static final String PREFIX = "authority/";

    /** Whether the run may own racks. */
    public enum State {
        /** The run may own racks. */
        OPEN,
        /** The run may never own racks again; other daemons may take its racks. */
        CLOSED
    }

    /** Checks the fields. */
    public AuthorityRecord {
        Objects.requireNonNull(run);
        Objects.requireNonNull(state);
        Objects.requireNonNull(witnesses);
        if (term <= 0) {
            throw new IllegalArgumentException("term of an authority record must be positive");
        }
    }

    /** Returns the key of a daemon's record. */
    public static String key(DaemonId daemon) {
        return PREFIX + daemon.value();
    }

    /** Returns the successor record: open, with the next term and the given run and witnesses. */
    public AuthorityRecord next(DaemonRun owner, WitnessSet set) {
        return new AuthorityRecord(owner, term + 1, State.OPEN, set);
    }

    /** Returns this record closed, with the same term. */
    public AuthorityRecord close() {
        return new AuthorityRecord(run, term, State.CLOSED, witnesses);
    }

    /** Returns whether the run may no longer own racks. */
    public boolean isClosed() {
        return state == State.CLOSED;
    }
}
