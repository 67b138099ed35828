package org.crocusgrade.core.member;

import java.util.Objects;
import org.crocusgrade.core.id.DaemonId;

/**
 * A daemon's record of its right to own racks, at {@code authority/<daemon>} in the platform's
 * service. It outlives the daemon's lease. The daemon writes it with a higher term whenever its
 * lease or its witnesses change; another daemon writes it only to close it, after a take-over's
 * conditions are met. Each write is a compare-and-swap, so of the two only one succeeds.
 *
 * @param run the run that has the right
 * @param term grows with each write of the daemon
 * @param state whether the run may own racks
 * @param witnesses whose promises and fences count
 */
public record AuthorityRecord(DaemonRun run, long term, State state, WitnessSet witnesses) {
    /** The prefix of the records' keys. */
    public static final String PREFIX = "authority/";

    /** Whether the run may own racks. */
    public enum State {
        /** It may. */
        OPEN,
        /** It may not and never will again; others may take its racks. */
        CLOSED
    }

    /** Checks the fields. */
    public AuthorityRecord {
        Objects.requireNonNull(run);
        Objects.requireNonNull(state);
        Objects.requireNonNull(witnesses);
        if (term <= 0) {
            throw new IllegalArgumentException("term must be above 0");
        }
    }

    /** Returns the key of a daemon's record. */
    public static String key(DaemonId daemon) {
        return PREFIX + daemon.value();
    }

    /** Returns the record that a run writes next. */
    public AuthorityRecord next(DaemonRun owner, WitnessSet set) {
        return new AuthorityRecord(owner, term + 1, State.OPEN, set);
    }

    /** Returns the record that ends the run's right. */
    public AuthorityRecord close() {
        return new AuthorityRecord(run, term, State.CLOSED, witnesses);
    }

    /** Returns whether the run's right has ended. */
    public boolean isClosed() {
        return state == State.CLOSED;
    }
}
