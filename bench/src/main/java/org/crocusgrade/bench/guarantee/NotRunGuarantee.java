package org.crocusgrade.bench.guarantee;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.crocusgrade.core.dispatch.Outcome;
import org.crocusgrade.standin.load.CallRecord;
import org.crocusgrade.standin.worker.Receipt;

/**
 * A request that is answered as not run was not run. One case for each call with this answer: no
 * worker may have started the request by the time of the answer, and a worker may start it later
 * only for another call of the same request.
 */
final class NotRunGuarantee implements Guarantee {
    @Override
    public String name() {
        return "not-run-is-true";
    }

    @Override
    public CheckResult check(Observations observations) {
        CaseCounter cases = new CaseCounter(name());
        Map<String, List<Receipt>> runs = new HashMap<>();
        for (Receipt receipt : observations.receipts()) {
            if (receipt.ending().started()) {
                runs.computeIfAbsent(receipt.nonce(), nonce -> new ArrayList<>()).add(receipt);
            }
        }
        Map<String, List<CallRecord>> calls = new HashMap<>();
        for (CallRecord call : observations.calls()) {
            calls.computeIfAbsent(call.nonce(), nonce -> new ArrayList<>()).add(call);
        }
        for (CallRecord call : observations.calls()) {
            if (!call.hasOutcome(Outcome.NOT_RUN)) {
                continue;
            }
            List<CallRecord> sameRequest = calls.get(call.nonce());
            boolean holds = true;
            for (Receipt run : runs.getOrDefault(call.nonce(), List.of())) {
                holds &=
                        run.start().isAfter(call.ended())
                                && belongsToAnotherCall(run, call, sameRequest);
            }
            cases.check(holds, () -> describe(call, sameRequest, runs.get(call.nonce())));
        }
        return cases.result();
    }

    private static String describe(CallRecord call, List<CallRecord> calls, List<Receipt> runs) {
        StringBuilder text =
                new StringBuilder(call.nonce() + " ran although it was answered " + call.reason());
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

    /** Returns whether a call other than the given one may have caused the run. */
    private static boolean belongsToAnotherCall(
            Receipt run, CallRecord call, List<CallRecord> sameRequest) {
        for (CallRecord other : sameRequest) {
            if (other != call
                    && !other.hasOutcome(Outcome.NOT_RUN)
                    && !other.sent().isAfter(run.start())) {
                return true;
            }
        }
        return false;
    }
}
