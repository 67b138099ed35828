package org.crocusgrade.core.member;

import org.crocusgrade.core.fleet.SlotTable;

/**
 * The rules that the model applies. Each method calls the production code; a test overrides one to
 * check that the explorer finds the breach that the weakened rule allows.
 */
class ModelRules {
    static final long TICK = 1_000_000_000L;

    /** Duration of a slot lease for the borrower of the slot. */
    static final long SLOT_LEASE = 2 * TICK;

    /** Duration of a slot lease as the owner counts it; all clocks of the model run at one rate. */
    static final long OWNER_SLOT_LEASE = SLOT_LEASE;

    boolean mayGrant(Authority authority, long now) {
        return authority.mayGrant(now);
    }

    Authority onPromise(Authority authority, DaemonRun witness, long term, long sent, long now) {
        return authority.onPromise(witness, term, sent);
    }

    Witness.Answer fence(Witness witness, DaemonRun owner, long term, long now) {
        return witness.fence(owner, term, now);
    }

    TakeOver onLiveRun(TakeOver attempt, DaemonRun run, long now) {
        return attempt.onLiveRun(run, now);
    }

    boolean mayClose(TakeOver attempt, long now) {
        return attempt.mayClose(now);
    }

    /** Returns the time from which a daemon that took a rack may grant its slots. */
    long grantStart(RackTransitions.TakeCondition condition, long now) {
        return condition == RackTransitions.TakeCondition.AFTER_LEASE_EXPIRY
                ? now + OWNER_SLOT_LEASE
                : now;
    }

    boolean mayCommit(SlotTable.Outstanding out) {
        return RackTransitions.mayCommit(out, false);
    }

    boolean mayRelease(SlotTable.Outstanding out) {
        return RackTransitions.mayRelease(out);
    }

    /** Returns the end of a slot lease whose owner paused between checking and sending it. */
    long lateGrantEnd(long checked, long now) {
        return checked + SLOT_LEASE;
    }

    /** Returns whether a write whose answer was lost is repeated without comparing the revision. */
    boolean rewritesBlindly() {
        return false;
    }

    /** Returns the authority of a daemon with a new lease under which it wrote no record yet. */
    Authority onNewLease(Authority authority, long sent) {
        return authority.onLeaseLost().onLease(sent);
    }

    /** Returns the authority of a daemon after a write of its record got no answer. */
    Authority onRecordAnswerLost(Authority authority) {
        return authority;
    }
}
