package org.crocusgrade.bench.guarantee;

import org.crocusgrade.core.dispatch.Outcome;
import org.crocusgrade.standin.load.CallRecord;

/**
 * A caller receives the complete answer to its own request. One case for each call that was
 * answered as completed.
 */
final class OwnAnswerGuarantee implements Guarantee {
    @Override
    public String name() {
        return "own-answer";
    }

    @Override
    public CheckResult check(Observations observations) {
        CaseCounter cases = new CaseCounter(name());
        for (CallRecord call : observations.calls()) {
            if (call.hasOutcome(Outcome.COMPLETED)) {
                cases.check(
                        call.complete(),
                        () -> call.nonce() + " received another or an incomplete answer");
            }
        }
        return cases.result();
    }
}
