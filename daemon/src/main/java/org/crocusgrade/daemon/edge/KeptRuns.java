package org.crocusgrade.daemon.edge;

import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.crocusgrade.core.claim.ClaimId;

/** Finished runs in the order in which they are to be forgotten, within a bound. */
final class KeptRuns {
    private final Map<ClaimId, KeyedRun> runs;
    private final int most;
    private final Queue<Kept> queue = new ConcurrentLinkedQueue<>();
    private final AtomicInteger size = new AtomicInteger();

    KeptRuns(Map<ClaimId, KeyedRun> runs, int most) {
        this.runs = runs;
        this.most = most;
    }

    void add(ClaimId id, KeyedRun run, long untilNanos) {
        queue.add(new Kept(id, run, untilNanos));
        if (size.incrementAndGet() > most) {
            forgetOldest();
        }
    }

    void expire(long now) {
        Kept oldest = queue.peek();
        while (oldest != null && oldest.untilNanos - now <= 0) {
            forgetOldest();
            oldest = queue.peek();
        }
    }

    private void forgetOldest() {
        Kept oldest = queue.poll();
        if (oldest != null) {
            size.decrementAndGet();
            runs.remove(oldest.id, oldest.run);
        }
    }

    private record Kept(ClaimId id, KeyedRun run, long untilNanos) {}
}
