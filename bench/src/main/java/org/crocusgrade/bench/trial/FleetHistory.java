package org.crocusgrade.bench.trial;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.crocusgrade.bench.guarantee.Observations;
import org.crocusgrade.core.fleet.RackCodec;
import org.crocusgrade.core.fleet.RackRecord;
import org.crocusgrade.core.fleet.WorkerRecord;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.misc.RecordException;
import org.crocusgrade.standin.StandinFleet;
import org.crocusgrade.standin.platform.Change;
import org.crocusgrade.standin.worker.Receipt;

/** The pool of each worker over time, from the rack records in the platform's store. */
public final class FleetHistory {
    /** The prefix of the rack records' keys. */
    public static final String PREFIX = "fleet/";

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final List<Observations.PoolWrite> writes = new ArrayList<>();

    /** Reads the history from the writes that took effect; unreadable records are left out. */
    public FleetHistory(List<Change> changes) {
        for (Change change : changes) {
            if (change.value().isEmpty()) {
                continue;
            }
            try {
                RackRecord rack = RackCodec.decode(change.value().get());
                rack.workers().forEach(worker -> writes.add(write(change.at(), worker)));
            } catch (RecordException e) {
                logger.atWarning().withCause(e).log(
                        "trial: cannot decode rack record %s", change.key());
            }
        }
    }

    /** Returns the writes in chronological order. */
    public List<Observations.PoolWrite> writes() {
        return List.copyOf(writes);
    }

    /** Returns how many workers were recorded in a pool at any time. */
    public int workers() {
        Set<WorkerId> recorded = new HashSet<>();
        writes.forEach(write -> recorded.add(write.worker()));
        return recorded.size();
    }

    /** Returns how often a worker changed its pool after a time. */
    public int moves(Instant since) {
        Map<WorkerId, PoolId> pools = new HashMap<>();
        int moves = 0;
        for (Observations.PoolWrite write : writes) {
            PoolId before = pools.put(write.worker(), write.pool());
            boolean moved = before != null && !before.equals(write.pool());
            moves += moved && write.at().isAfter(since) ? 1 : 0;
        }
        return moves;
    }

    /**
     * Returns the mean number of idle workers in pools other than the spare one over a period: the
     * workers in those pools, less the busy slots in units of a worker's slots.
     */
    public double idleWorkers(List<Receipt> receipts, PoolId spare, Instant from, Instant to) {
        Map<WorkerId, Observations.PoolWrite> current = new HashMap<>();
        double heldSeconds = 0;
        for (Observations.PoolWrite write : writes) {
            Observations.PoolWrite before = current.put(write.worker(), write);
            if (before != null && !before.pool().equals(spare)) {
                heldSeconds += overlapSeconds(before.at(), write.at(), from, to);
            }
        }
        for (Observations.PoolWrite last : current.values()) {
            heldSeconds += last.pool().equals(spare) ? 0 : overlapSeconds(last.at(), to, from, to);
        }
        double busySlotSeconds = 0;
        for (Receipt receipt : receipts) {
            if (receipt.ending().started() && !receipt.pool().equals(spare.value())) {
                busySlotSeconds += overlapSeconds(receipt.start(), receipt.end(), from, to);
            }
        }
        double length = Duration.between(from, to).toMillis() / 1000.0;
        return (heldSeconds - busySlotSeconds / StandinFleet.SLOTS) / length;
    }

    private static double overlapSeconds(Instant start, Instant end, Instant from, Instant to) {
        Instant first = start.isBefore(from) ? from : start;
        Instant last = end.isAfter(to) ? to : end;
        return Math.max(0, Duration.between(first, last).toNanos() / 1e9);
    }

    private static Observations.PoolWrite write(Instant at, WorkerRecord worker) {
        return new Observations.PoolWrite(at, worker.worker(), worker.pool(), worker.state());
    }
}
