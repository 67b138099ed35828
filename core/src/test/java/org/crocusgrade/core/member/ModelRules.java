package org.crocusgrade.core.member;

import org.crocusgrade.core.fleet.SlotTable;

/**
 * The rules that the explorer runs: each method is the product's own code, and a weakened rule
 * overrides one.
 */
class ModelRules {
    static final long TICK = 1_000_000_000L;

    /** How long a slot lease lasts for its borrower. */
    static final long SLOT_LEASE = 2 * TICK;

    /** How long the owner takes it to last; the model's clocks have one rate. */
    static final long OWNER_SLOT_LEASE = SLOT_LEASE;

    boolean mayGrant(Authority authority, long now) {
        return authority.mayGrant(now);
    }

    Authority onPromise(Authority authority, DaemonRun witness, long term, long asked, long now) {
        return authority.onPromise(witness, term, asked);
    }

    Witness.Answer fence(Witness witness, DaemonRun owner, long term, long now) {
        return witness.fence(owner, term, now);
    }

    TakeOver onRunSeen(TakeOver attempt, DaemonRun run, long now) {
        return attempt.onRunSeen(run, now);
    }

    boolean mayClose(TakeOver attempt, long now) {
        return attempt.mayClose(now);
    }

    /** Returns from when a daemon that took a rack may grant. */
    long quietEnd(RackTransitions.Take take, long now) {
        return take == RackTransitions.Take.AFTER_LEASES ? now + OWNER_SLOT_LEASE : now;
    }

    boolean mayCommit(SlotTable.Outstanding out) {
        return RackTransitions.mayCommit(out, false);
    }

    boolean mayGiveUp(SlotTable.Outstanding out) {
        return RackTransitions.mayGiveUp(out);
    }

    /** Returns the end of a lease whose owner paused between the check and the send. */
    long lateGrantEnd(long checked, long now) {
        return checked + SLOT_LEASE;
    }

    /** Returns whether a write whose answer was lost is repeated over whatever is there. */
    boolean rewritesBlindly() {
        return false;
    }

    /** Returns the view of a daemon that has a new lease and has not yet written its record. */
    Authority onNewLease(Authority authority, long sent) {
        return authority.onLeaseLost().onLease(sent);
    }

    /** Returns the view of a daemon whose write of its record got no answer. */
    Authority onRecordAnswerLost(Authority authority) {
        return authority;
    }
}
