package org.crocusgrade.bench.promise;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.crocusgrade.core.dispatch.Outcome;
import org.crocusgrade.standin.load.CallRecord;
import org.crocusgrade.standin.worker.Receipt;

/**
 * When the system tells a caller that a request was not run, it was not run. A case is a call whose
 * caller was told so. No worker may have started the request by then, and a worker may start it
 * later only for another call of the same request.
 */
final class NotRunPromise implements Promise {
    @Override
    public String name() {
        return "not-run-is-true";
    }

    @Override
    public Verdict check(Evidence evidence) {
        Tally tally = new Tally(name());
        Map<String, List<Receipt>> runs = new HashMap<>();
        for (Receipt receipt : evidence.receipts()) {
            if (receipt.ending().started()) {
                runs.computeIfAbsent(receipt.nonce(), n -> new ArrayList<>()).add(receipt);
            }
        }
        Map<String, List<CallRecord>> calls = new HashMap<>();
        for (CallRecord call : evidence.calls()) {
            calls.computeIfAbsent(call.nonce(), n -> new ArrayList<>()).add(call);
        }
        for (CallRecord call : evidence.calls()) {
            if (!call.hasOutcome(Outcome.NOT_RUN)) {
                continue;
            }
            List<CallRecord> same = calls.get(call.nonce());
            boolean held = true;
            for (Receipt run : runs.getOrDefault(call.nonce(), List.of())) {
                held &= run.start().isAfter(call.ended()) && belongsToAnother(run, call, same);
            }
            tally.check(held, () -> describe(call, same, runs.get(call.nonce())));
        }
        return tally.verdict();
    }

    private static String describe(CallRecord call, List<CallRecord> calls, List<Receipt> runs) {
        StringBuilder text = new StringBuilder(call.nonce() + " ran, told " + call.reason());
        for (CallRecord each : calls) {
            text.append("; called ").append(each.sent()).append(" to ").append(each.ended());
            text.append(" at ").append(each.target()).append(": ").append(each.reason());
        }
        for (Receipt run : runs) {
            text.append("; ran ").append(run.start()).append(" to ").append(run.end());
            text.append(" at ").append(run.worker()).append(": ").append(run.ending());
        }
        return text.toString();
    }

    private static boolean belongsToAnother(Receipt run, CallRecord call, List<CallRecord> same) {
        for (CallRecord other : same) {
            if (other != call
                    && !other.hasOutcome(Outcome.NOT_RUN)
                    && !other.sent().isAfter(run.start())) {
                return true;
            }
        }
        return false;
    }
}
