package org.crocusgrade.bench.promise;

import org.crocusgrade.core.dispatch.Outcome;
import org.crocusgrade.standin.load.CallRecord;

/**
 * A caller receives the whole answer to its own request. A case is a call whose caller was told
 * that it completed.
 */
final class OwnAnswerPromise implements Promise {
    @Override
    public String name() {
        return "own-answer";
    }

    @Override
    public Verdict check(Evidence evidence) {
        Tally tally = new Tally(name());
        for (CallRecord call : evidence.calls()) {
            if (call.hasOutcome(Outcome.COMPLETED)) {
                tally.check(
                        call.complete(),
                        () -> call.nonce() + " got another answer, or only a part");
            }
        }
        return tally.verdict();
    }
}
