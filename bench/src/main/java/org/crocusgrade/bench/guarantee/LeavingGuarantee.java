package org.crocusgrade.bench.guarantee;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.HostEntry;
import org.crocusgrade.standin.hosts.HostEvent;
import org.crocusgrade.standin.worker.Receipt;

/**
 * A leaving worker receives no new request after a bound of a few seconds. One case for each period
 * in which a worker was leaving for longer than the bound; a request that the worker refused counts
 * as received.
 */
final class LeavingGuarantee implements Guarantee {
    private record LeavingPeriod(WorkerId worker, Instant from, Instant to) {}

    @Override
    public String name() {
        return "leaving-gets-no-work";
    }

    @Override
    public CheckResult check(Observations observations) {
        CaseCounter cases = new CaseCounter(name());
        Map<WorkerId, Instant> leavingSince = new HashMap<>();
        for (HostEvent event : observations.hostEvents()) {
            if (event.state() == HostEntry.State.LEAVING) {
                leavingSince.putIfAbsent(event.worker(), event.at());
                continue;
            }
            Instant since = leavingSince.remove(event.worker());
            if (since != null) {
                check(observations, new LeavingPeriod(event.worker(), since, event.at()), cases);
            }
        }
        leavingSince.forEach(
                (worker, since) ->
                        check(observations, new LeavingPeriod(worker, since, Instant.MAX), cases));
        return cases.result();
    }

    private static void check(Observations observations, LeavingPeriod period, CaseCounter cases) {
        Instant from = period.from().plus(observations.leavingBound());
        if (!from.isBefore(period.to())) {
            return;
        }
        List<Receipt> lateReceipts =
                observations.receipts().stream()
                        .filter(receipt -> receipt.worker().equals(period.worker().value()))
                        .filter(
                                receipt ->
                                        receipt.start().isAfter(from)
                                                && receipt.start().isBefore(period.to()))
                        .toList();
        cases.check(
                lateReceipts.isEmpty(),
                () ->
                        period.worker()
                                + " received "
                                + lateReceipts.size()
                                + " requests after "
                                + from);
    }
}
