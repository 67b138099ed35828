package org.crocusgrade.bench.promise;

import java.util.HashMap;
import java.util.Map;
import java.util.TreeSet;
import org.crocusgrade.standin.load.CallRecord;
import org.crocusgrade.standin.worker.Receipt;

/**
 * A non-idempotent request runs at most once. A case is such a request, however often it was sent.
 */
final class AtMostOncePromise implements Promise {
    @Override
    public String name() {
        return "at-most-once";
    }

    @Override
    public Verdict check(Evidence evidence) {
        Tally tally = new Tally(name());
        Map<String, Integer> starts = new HashMap<>();
        for (Receipt receipt : evidence.receipts()) {
            if (receipt.ending().started()) {
                starts.merge(receipt.nonce(), 1, Integer::sum);
            }
        }
        TreeSet<String> requests = new TreeSet<>();
        for (CallRecord call : evidence.calls()) {
            if (!call.idempotent()) {
                requests.add(call.nonce());
            }
        }
        for (String nonce : requests) {
            int count = starts.getOrDefault(nonce, 0);
            tally.check(count <= 1, () -> nonce + " ran " + count + " times");
        }
        return tally.verdict();
    }
}
