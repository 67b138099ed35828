package org.crocusgrade.bench.promise;

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
 * A host belongs to exactly one pool at any moment. A case is a request that a worker started. It
 * must name the pool that the platform's service had for the worker at that moment, and no request
 * of another pool may run there meanwhile.
 */
final class OnePoolPromise implements Promise {
    /** How near a write must be to a run to be told with it. */
    private static final Duration NEAR = Duration.ofSeconds(10);

    @Override
    public String name() {
        return "one-pool";
    }

    @Override
    public Verdict check(Evidence evidence) {
        Tally tally = new Tally(name());
        Map<String, List<Evidence.PoolWrite>> writes = new HashMap<>();
        for (Evidence.PoolWrite write : evidence.pools()) {
            writes.computeIfAbsent(write.worker().value(), w -> new ArrayList<>()).add(write);
        }
        Map<String, List<Receipt>> byWorker = new TreeMap<>();
        for (Receipt receipt : evidence.receipts()) {
            if (receipt.ending().started()) {
                byWorker.computeIfAbsent(receipt.worker(), w -> new ArrayList<>()).add(receipt);
            }
        }
        byWorker.forEach((w, runs) -> checkWorker(runs, writes.getOrDefault(w, List.of()), tally));
        return tally.verdict();
    }

    private static void checkWorker(
            List<Receipt> runs, List<Evidence.PoolWrite> writes, Tally tally) {
        runs.sort(Comparator.comparing(Receipt::start));
        Map<String, Instant> latestEnd = new HashMap<>();
        for (Receipt run : runs) {
            boolean alone = true;
            for (Map.Entry<String, Instant> other : latestEnd.entrySet()) {
                boolean overlaps = other.getValue().isAfter(run.start());
                alone &= !overlaps || other.getKey().equals(run.pool());
            }
            boolean recorded = writes.isEmpty() || run.pool().equals(poolAt(writes, run.start()));
            tally.check(alone && recorded, () -> describe(run, writes, recorded));
            latestEnd.merge(run.pool(), run.end(), (a, b) -> a.isAfter(b) ? a : b);
        }
    }

    private static String poolAt(List<Evidence.PoolWrite> writes, Instant at) {
        String pool = "";
        for (Evidence.PoolWrite write : writes) {
            if (write.at().isAfter(at)) {
                break;
            }
            pool = write.pool().value();
        }
        return pool;
    }

    private static String describe(Receipt run, List<Evidence.PoolWrite> writes, boolean recorded) {
        String what = run.worker() + " ran " + run.nonce() + " of " + run.pool();
        if (recorded) {
            return what + " beside a request of another pool at " + run.start();
        }
        StringBuilder text = new StringBuilder(what);
        text.append(" at ").append(run.start()).append(" as ").append(run.request());
        for (Evidence.PoolWrite write : writes) {
            if (Duration.between(write.at(), run.start()).abs().compareTo(NEAR) < 0) {
                text.append("; in ").append(write.pool()).append(' ').append(write.state());
                text.append(" since ").append(write.at());
            }
        }
        return text.toString();
    }
}
