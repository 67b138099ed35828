package org.crocusgrade.bench.guarantee;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.crocusgrade.standin.worker.Receipt;

/**
 * A host belongs to exactly one pool at any time. One case for each request that a worker started:
 * it must name the pool that the platform's key-value service recorded for the worker at the start,
 * and must not overlap a request of another pool that the worker started before it. For a worker
 * without a recorded pool only the overlap is checked.
 */
final class OnePoolGuarantee implements Guarantee {
    /** The pool writes within this time of a violating run are listed with it. */
    private static final Duration NEARBY_WRITES = Duration.ofSeconds(10);

    @Override
    public String name() {
        return "one-pool";
    }

    @Override
    public CheckResult check(Observations observations) {
        CaseCounter cases = new CaseCounter(name());
        Map<String, List<Observations.PoolWrite>> writes = new HashMap<>();
        for (Observations.PoolWrite write : observations.pools()) {
            writes.computeIfAbsent(write.worker().value(), worker -> new ArrayList<>()).add(write);
        }
        Map<String, List<Receipt>> byWorker = new TreeMap<>();
        for (Receipt receipt : observations.receipts()) {
            if (receipt.ending().started()) {
                byWorker.computeIfAbsent(receipt.worker(), worker -> new ArrayList<>())
                        .add(receipt);
            }
        }
        byWorker.forEach(
                (worker, runs) -> checkWorker(runs, writes.getOrDefault(worker, List.of()), cases));
        return cases.result();
    }

    private static void checkWorker(
            List<Receipt> runs, List<Observations.PoolWrite> writes, CaseCounter cases) {
        runs.sort(Comparator.comparing(Receipt::start));
        Map<String, Instant> latestEnd = new HashMap<>();
        for (Receipt run : runs) {
            boolean exclusive = true;
            for (Map.Entry<String, Instant> other : latestEnd.entrySet()) {
                boolean overlaps = other.getValue().isAfter(run.start());
                exclusive &= !overlaps || other.getKey().equals(run.pool());
            }
            boolean recorded = writes.isEmpty() || run.pool().equals(poolAt(writes, run.start()));
            cases.check(exclusive && recorded, () -> describe(run, writes, recorded));
            latestEnd.merge(run.pool(), run.end(), (a, b) -> a.isAfter(b) ? a : b);
        }
    }

    private static String poolAt(List<Observations.PoolWrite> writes, Instant at) {
        String pool = "";
        for (Observations.PoolWrite write : writes) {
            if (write.at().isAfter(at)) {
                break;
            }
            pool = write.pool().value();
        }
        return pool;
    }

    private static String describe(
            Receipt run, List<Observations.PoolWrite> writes, boolean recorded) {
        String what = run.worker() + " ran " + run.nonce() + " of " + run.pool();
        if (recorded) {
            return what + " in parallel with a request of another pool at " + run.start();
        }
        StringBuilder text = new StringBuilder(what);
        text.append(" at ").append(run.start()).append(" as ").append(run.request());
        for (Observations.PoolWrite write : writes) {
            if (Duration.between(write.at(), run.start()).abs().compareTo(NEARBY_WRITES) < 0) {
                text.append("; in ").append(write.pool()).append(' ').append(write.state());
                text.append(" since ").append(write.at());
            }
        }
        return text.toString();
    }
}
