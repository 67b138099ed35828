package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.ClockReading;
import org.crocusgrade.daemon.log.Event;
import org.crocusgrade.daemon.log.EventLog;
import org.crocusgrade.peer.proto.PoolStatusMessage;

/**
 * The latest reports of the owners of pools. A report is used only while it certainly describes the
 * present: it is recent, its sender still owns the pool, and this process was not paused since.
 */
final class PoolReports {
    /**
     * Maximum age of an owner's report. A new owner starts nothing for longer than this, so that no
     * host on which it starts runs is ordered because of a report of the former owner.
     */
    private static final Duration MAX_AGE = Duration.ofMillis(350);

    /**
     * How long reports are ignored after a pause of this process: they may have waited to be read.
     */
    private static final Duration PAUSE_SETTLE_TIME = Duration.ofMillis(200);

    private final Clock clock;
    private final EventLog log;
    private final Map<ServiceId, Received> latest = new HashMap<>();
    private final Map<ServiceId, Long> ownerTokens = new HashMap<>();
    private Optional<ClockReading> ticked = Optional.empty();
    private Optional<Long> ignoredUntilNanos = Optional.empty();

    PoolReports(Clock clock, EventLog log) {
        this.clock = clock;
        this.log = log;
    }

    /**
     * Processes a report. One of a former owner, which may not know yet that it has been replaced,
     * says nothing about the workers.
     *
     * @param ownerToken the fencing token of the pool's owner, as far as this daemon knows
     * @return whether the report is used
     */
    boolean onReport(PoolStatusMessage report, long ownerToken) {
        ServiceId pool = new ServiceId(report.getService());
        long newest = ownerTokens.merge(pool, Math.max(ownerToken, report.getToken()), Math::max);
        if (report.getToken() < newest) {
            log.log(
                    Event.REPORT_IGNORED,
                    "pool",
                    pool,
                    "what",
                    "status",
                    "token",
                    report.getToken(),
                    "latest-token",
                    newest);
            return false;
        }
        long now = clock.nanoTime();
        if (ignoredUntilNanos.isPresent() && now - ignoredUntilNanos.get() < 0) {
            return false;
        }
        ignoredUntilNanos = Optional.empty();
        latest.put(pool, new Received(report, now));
        return true;
    }

    /**
     * Records that the process runs; to be called more often than reports expire. Forgets all
     * reports if the process was paused: they are older than they seem.
     */
    void tick() {
        Optional<ClockReading> last = ticked;
        ticked = Optional.of(ClockReading.of(clock));
        if (last.isEmpty() || last.get().isWithin(MAX_AGE, clock)) {
            return;
        }
        latest.clear();
        ignoredUntilNanos = Optional.of(clock.nanoTime() + PAUSE_SETTLE_TIME.toNanos());
        log.log(Event.PROCESS_PAUSED, "for-ms", last.get().age(clock).toMillis());
    }

    /** Returns the latest report of each pool, also if it is not recent. */
    Collection<PoolStatusMessage> all() {
        List<PoolStatusMessage> reports = new ArrayList<>(latest.size());
        latest.values().forEach(r -> reports.add(r.report));
        return reports;
    }

    /** Returns the latest report of each pool that is recent. */
    Collection<PoolStatusMessage> recent() {
        long now = clock.nanoTime();
        List<PoolStatusMessage> reports = new ArrayList<>(latest.size());
        for (Received received : latest.values()) {
            if (now - received.nanos <= MAX_AGE.toNanos()) {
                reports.add(received.report);
            }
        }
        return reports;
    }

    /** Returns the reports that have come since the last call of this method. */
    Collection<PoolStatusMessage> takeNew() {
        List<PoolStatusMessage> reports = new ArrayList<>(latest.size());
        for (Received received : latest.values()) {
            if (!received.taken) {
                received.taken = true;
                reports.add(received.report);
            }
        }
        return reports;
    }

    private static final class Received {
        private final PoolStatusMessage report;
        private final long nanos;
        private boolean taken;

        Received(PoolStatusMessage report, long nanos) {
            this.report = report;
            this.nanos = nanos;
        }
    }
}
