package org.crocusgrade.daemon.edge;

import java.util.Map;
import java.util.Queue;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;
import org.crocusgrade.core.claim.ClaimId;

/**
 * Bounds how long and how many finished runs stay in the map of runs. Runs are evicted in the order
 * in which they were added; as the retention is the same for all, that is also the order of their
 * expiry.
 */
final class FinishedRunCache {
    private final Map<ClaimId, KeyedRun> runs;
    private final int maxSize;
    private final Queue<CachedRun> queue = new ConcurrentLinkedQueue<>();
    private final AtomicInteger size = new AtomicInteger();

    FinishedRunCache(Map<ClaimId, KeyedRun> runs, int maxSize) {
        this.runs = runs;
        this.maxSize = maxSize;
    }

    void add(ClaimId id, KeyedRun run, long expiryNanos) {
        queue.add(new CachedRun(id, run, expiryNanos));
        if (size.incrementAndGet() > maxSize) {
            evictOldest();
        }
    }

    void expire(long now) {
        CachedRun oldest = queue.peek();
        while (oldest != null && oldest.expiryNanos - now <= 0) {
            evictOldest();
            oldest = queue.peek();
        }
    }

    private void evictOldest() {
        CachedRun oldest = queue.poll();
        if (oldest != null) {
            size.decrementAndGet();
            runs.remove(oldest.id, oldest.run);
        }
    }

    private record CachedRun(ClaimId id, KeyedRun run, long expiryNanos) {}
}
