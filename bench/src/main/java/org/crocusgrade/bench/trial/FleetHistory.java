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
import org.crocusgrade.bench.promise.Evidence;
import org.crocusgrade.core.fleet.RackCodec;
import org.crocusgrade.core.fleet.RackRecord;
import org.crocusgrade.core.fleet.WorkerRecord;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.misc.RecordException;
import org.crocusgrade.standin.StandinFleet;
import org.crocusgrade.standin.platform.Change;
import org.crocusgrade.standin.worker.Receipt;

/** Which worker was in which pool when, as the platform's service had it. */
public final class FleetHistory {
    /** The prefix of the rack records' keys. */
    public static final String PREFIX = "fleet/";

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final List<Evidence.PoolWrite> writes = new ArrayList<>();

    /** Reads the history from the writes that took effect. */
    public FleetHistory(List<Change> changes) {
        for (Change change : changes) {
            if (change.value().isEmpty()) {
                continue;
            }
            try {
                RackRecord rack = RackCodec.decode(change.value().get());
                rack.workers().forEach(worker -> writes.add(write(change.at(), worker)));
            } catch (RecordException e) {
                logger.atWarning().withCause(e).log("trial: cannot read %s", change.key());
            }
        }
    }

    /** Returns the writes in order of time. */
    public List<Evidence.PoolWrite> writes() {
        return List.copyOf(writes);
    }

    /** Returns how many workers were recorded. */
    public int workers() {
        Set<WorkerId> seen = new HashSet<>();
        writes.forEach(write -> seen.add(write.worker()));
        return seen.size();
    }

    /** Returns how often a worker changed its pool after a time. */
    public int moves(Instant since) {
        Map<WorkerId, PoolId> pools = new HashMap<>();
        int moves = 0;
        for (Evidence.PoolWrite write : writes) {
            PoolId before = pools.put(write.worker(), write.pool());
            boolean moved = before != null && !before.equals(write.pool());
            moves += moved && write.at().isAfter(since) ? 1 : 0;
        }
        return moves;
    }

    /** Returns the workers idle in pools other than the spare one, on average over a time. */
    public double idleWorkers(List<Receipt> receipts, PoolId spare, Instant from, Instant to) {
        Map<WorkerId, Evidence.PoolWrite> current = new HashMap<>();
        double held = 0;
        for (Evidence.PoolWrite write : writes) {
            Evidence.PoolWrite before = current.put(write.worker(), write);
            if (before != null && !before.pool().equals(spare)) {
                held += seconds(before.at(), write.at(), from, to);
            }
        }
        for (Evidence.PoolWrite last : current.values()) {
            held += last.pool().equals(spare) ? 0 : seconds(last.at(), to, from, to);
        }
        double busy = 0;
        for (Receipt receipt : receipts) {
            if (receipt.ending().started() && !receipt.pool().equals(spare.value())) {
                busy += seconds(receipt.start(), receipt.end(), from, to);
            }
        }
        double length = Duration.between(from, to).toMillis() / 1000.0;
        return (held - busy / StandinFleet.SLOTS) / length;
    }

    private static double seconds(Instant start, Instant end, Instant from, Instant to) {
        Instant first = start.isBefore(from) ? from : start;
        Instant last = end.isAfter(to) ? to : end;
        return Math.max(0, Duration.between(first, last).toNanos() / 1e9);
    }

    private static Evidence.PoolWrite write(Instant at, WorkerRecord worker) {
        return new Evidence.PoolWrite(at, worker.worker(), worker.pool(), worker.state());
    }
}
