package org.crocusgrade.core.dispatch;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.WorkerId;

/**
 * The worker slots granted to this daemon, the number in use on each worker, and the placement of
 * requests.
 */
final class GrantedSlots {
    private static final int FAILURES_BEFORE_PAUSE = 3;
    private static final long FIRST_PAUSE_NANOS = 20_000_000L;
    private static final long MAX_PAUSE_NANOS = 1_000_000_000L;

    private final Map<WorkerId, Entry> entries = new LinkedHashMap<>();
    private final Optional<AvailabilityZone> zone;
    private int granted;
    private int running;

    GrantedSlots(Optional<AvailabilityZone> zone) {
        this.zone = zone;
    }

    /** Replaces the worker's previous grant. */
    void set(WorkerGrant grant) {
        Entry entry = entries.get(grant.worker());
        if (entry == null) {
            if (grant.slots() == 0) {
                return;
            }
            entry = new Entry(grant);
            entries.put(grant.worker(), entry);
        } else {
            granted -= entry.grant.slots();
            entry.grant = grant;
        }
        granted += grant.slots();
        dropIfUnused(entry);
    }

    /** Returns the number of granted slots over all workers. */
    int granted() {
        return granted;
    }

    /** Returns the number of slots in use, including recalled ones whose attempts still run. */
    int running() {
        return running;
    }

    /** Returns the number of slots in use on one worker. */
    int running(WorkerId worker) {
        Entry entry = entries.get(worker);
        return entry == null ? 0 : entry.running;
    }

    /** Returns the number of slots on which a request could start now. */
    int free(long now) {
        int free = 0;
        for (Entry entry : entries.values()) {
            free += entry.free(now);
        }
        return free;
    }

    /**
     * Returns the worker to start a request on. Workers on which the request has not failed are
     * preferred, then those in the daemon's own availability zone, then the one with the most free
     * slots.
     */
    Optional<WorkerId> choose(PendingRequest pending, long now) {
        Entry best = null;
        long bestRank = 0;
        for (Entry entry : entries.values()) {
            if (entry.free(now) == 0
                    || !WorkerGrant.fits(pending.request.needs(), entry.grant.size())) {
                continue;
            }
            long rank = rank(entry, pending, now);
            if (best == null || rank > bestRank) {
                best = entry;
                bestRank = rank;
            }
        }
        return best == null ? Optional.empty() : Optional.of(best.grant.worker());
    }

    private long rank(Entry entry, PendingRequest pending, long now) {
        boolean notFailedHere = !pending.failedOn.contains(entry.grant.worker());
        boolean sameZone = zone.isPresent() && zone.get().equals(entry.grant.zone());
        return (notFailedHere ? 1L << 32 : 0) + (sameZone ? 1L << 31 : 0) + entry.free(now);
    }

    void started(WorkerId worker) {
        entries.get(worker).running++;
        running++;
    }

    void ended(WorkerId worker) {
        Entry entry = entries.get(worker);
        entry.running--;
        running--;
        dropIfUnused(entry);
    }

    /** Starts no request on a worker before the given time. */
    void pause(WorkerId worker, long untilNanos) {
        Entry entry = entries.get(worker);
        if (entry != null) {
            entry.paused = true;
            entry.pausedUntilNanos = untilNanos;
        }
    }

    /**
     * Records the success or failure of an attempt. A worker that fails several in a row is paused,
     * for a time that doubles with each further failure: a worker that fails fast frees its slots
     * immediately and would attract all requests. At most half of the granted slots are paused for
     * this reason.
     */
    void recordResult(WorkerId worker, boolean failed, long now) {
        Entry entry = entries.get(worker);
        if (entry == null) {
            return;
        }
        entry.consecutiveFailures = failed ? entry.consecutiveFailures + 1 : 0;
        int excess = entry.consecutiveFailures - FAILURES_BEFORE_PAUSE;
        if (excess < 0 || 2 * (pausedSlots(entry, now) + entry.grant.slots()) > granted) {
            return;
        }
        pause(worker, now + Math.min(MAX_PAUSE_NANOS, FIRST_PAUSE_NANOS << Math.min(excess, 20)));
    }

    private int pausedSlots(Entry except, long now) {
        int count = 0;
        for (Entry entry : entries.values()) {
            if (entry != except && entry.paused && entry.pausedUntilNanos - now > 0) {
                count += entry.grant.slots();
            }
        }
        return count;
    }

    private void dropIfUnused(Entry entry) {
        if (entry.running == 0 && entry.grant.slots() == 0) {
            entries.remove(entry.grant.worker());
        }
    }

    private static final class Entry {
        private WorkerGrant grant;
        private int running;
        private int consecutiveFailures;
        private boolean paused;
        private long pausedUntilNanos;

        private Entry(WorkerGrant grant) {
            this.grant = grant;
        }

        private int free(long now) {
            if (grant.untilNanos() - now <= 0) {
                return 0;
            }
            if (paused) {
                if (pausedUntilNanos - now > 0) {
                    return 0;
                }
                paused = false;
            }
            return Math.max(0, grant.slots() - running);
        }
    }
}
