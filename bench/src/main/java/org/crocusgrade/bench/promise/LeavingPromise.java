package org.crocusgrade.bench.promise;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.HostEntry;
import org.crocusgrade.standin.hosts.HostEvent;
import org.crocusgrade.standin.worker.Receipt;

/**
 * An upstream that is leaving receives no new work after a few seconds. A case is a worker that
 * left for longer than that; work that it refused counts as received.
 */
final class LeavingPromise implements Promise {
    private record Absence(WorkerId worker, Instant from, Instant to) {}

    @Override
    public String name() {
        return "leaving-gets-no-work";
    }

    @Override
    public Verdict check(Evidence evidence) {
        Tally tally = new Tally(name());
        Map<WorkerId, Instant> left = new HashMap<>();
        for (HostEvent event : evidence.hostEvents()) {
            if (event.state() == HostEntry.State.LEAVING) {
                left.putIfAbsent(event.worker(), event.at());
                continue;
            }
            Instant since = left.remove(event.worker());
            if (since != null) {
                check(evidence, new Absence(event.worker(), since, event.at()), tally);
            }
        }
        left.forEach(
                (worker, since) -> check(evidence, new Absence(worker, since, Instant.MAX), tally));
        return tally.verdict();
    }

    private static void check(Evidence evidence, Absence absence, Tally tally) {
        Instant from = absence.from().plus(evidence.leavingBound());
        if (!from.isBefore(absence.to())) {
            return;
        }
        List<Receipt> late =
                evidence.receipts().stream()
                        .filter(r -> r.worker().equals(absence.worker().value()))
                        .filter(r -> r.start().isAfter(from) && r.start().isBefore(absence.to()))
                        .toList();
        tally.check(
                late.isEmpty(),
                () -> absence.worker() + " was sent " + late.size() + " requests after " + from);
    }
}
