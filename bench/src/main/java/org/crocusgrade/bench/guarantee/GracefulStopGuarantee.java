package org.crocusgrade.bench.guarantee;

import java.time.Instant;
import org.crocusgrade.core.port.HostEntry;
import org.crocusgrade.standin.hosts.HostEvent;
import org.crocusgrade.standin.load.CallRecord;
import org.crocusgrade.standin.worker.Receipt;

/**
 * A planned stop interrupts no request in flight. One case for each reboot that the system
 * requested, which must not interrupt a request on its worker until the worker is live again, and
 * one for each call in flight at a daemon when its stop was requested, which must be answered
 * unless its caller gave up.
 */
final class GracefulStopGuarantee implements Guarantee {
    @Override
    public String name() {
        return "graceful-stop";
    }

    @Override
    public CheckResult check(Observations observations) {
        CaseCounter cases = new CaseCounter(name());
        for (HostEvent event : observations.hostEvents()) {
            if (event.state() == HostEntry.State.DOWN && event.planned()) {
                checkReboot(observations, event, cases);
            }
        }
        for (Observations.PlannedStop stop : observations.stops()) {
            checkStop(observations, stop, cases);
        }
        return cases.result();
    }

    private static void checkReboot(Observations observations, HostEvent event, CaseCounter cases) {
        Instant nextLive = Instant.MAX;
        for (HostEvent other : observations.hostEvents()) {
            boolean returned =
                    other.worker().equals(event.worker())
                            && other.state() == HostEntry.State.LIVE
                            && !other.at().isBefore(event.at());
            if (returned) {
                nextLive = other.at();
                break;
            }
        }
        Instant end = nextLive;
        long interrupted =
                observations.receipts().stream()
                        .filter(receipt -> receipt.worker().equals(event.worker().value()))
                        .filter(receipt -> receipt.ending() == Receipt.Ending.CUT)
                        .filter(
                                receipt ->
                                        !receipt.end().isBefore(event.at())
                                                && receipt.end().isBefore(end))
                        .count();
        cases.check(
                interrupted == 0,
                () -> "reboot of " + event.worker() + " interrupted " + interrupted + " requests");
    }

    private static void checkStop(
            Observations observations, Observations.PlannedStop stop, CaseCounter cases) {
        for (CallRecord call : observations.calls()) {
            boolean inFlight =
                    call.target().equals(stop.daemon())
                            && call.sent().isBefore(stop.begin())
                            && call.ended().isAfter(stop.begin());
            if (!inFlight || call.reason().equals(CallRecord.GIVEN_UP)) {
                continue;
            }
            cases.check(
                    call.outcome().isPresent(),
                    () ->
                            call.nonce()
                                    + " was in flight and not answered at the stop of "
                                    + stop.daemon());
        }
    }
}
