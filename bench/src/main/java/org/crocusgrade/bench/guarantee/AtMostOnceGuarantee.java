package org.crocusgrade.bench.guarantee;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import org.crocusgrade.standin.load.CallRecord;
import org.crocusgrade.standin.worker.Receipt;

/**
 * A non-idempotent request is started at most once over all workers. One case for each such
 * request, no matter how many calls submitted it.
 */
final class AtMostOnceGuarantee implements Guarantee {
    @Override
    public String name() {
        return "at-most-once";
    }

    @Override
    public CheckResult check(Observations observations) {
        CaseCounter cases = new CaseCounter(name());
        Map<String, Integer> starts = new HashMap<>();
        for (Receipt receipt : observations.receipts()) {
            if (receipt.ending().started()) {
                starts.merge(receipt.nonce(), 1, Integer::sum);
            }
        }
        TreeSet<String> requests = new TreeSet<>();
        for (CallRecord call : observations.calls()) {
            if (!call.idempotent()) {
                requests.add(call.nonce());
            }
        }
        for (String nonce : requests) {
            int count = starts.getOrDefault(nonce, 0);
            cases.check(count <= 1, () -> nonce + " ran " + count + " times");
        }
        return cases.result();
    }
}
