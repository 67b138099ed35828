package org.crocusgrade.bench.promise;

import java.time.Instant;
import org.crocusgrade.core.port.HostEntry;
import org.crocusgrade.standin.hosts.HostEvent;
import org.crocusgrade.standin.load.CallRecord;
import org.crocusgrade.standin.worker.Receipt;

/**
 * Every planned stop cuts no request in flight. Cases are the reboots that the system asked for,
 * each with what ran on the worker, and the calls in flight at a daemon when it was asked to stop.
 */
final class GracefulStopPromise implements Promise {
    @Override
    public String name() {
        return "graceful-stop";
    }

    @Override
    public Verdict check(Evidence evidence) {
        Tally tally = new Tally(name());
        for (HostEvent event : evidence.hostEvents()) {
            if (event.state() == HostEntry.State.DOWN && event.planned()) {
                checkReboot(evidence, event, tally);
            }
        }
        for (Evidence.PlannedStop stop : evidence.stops()) {
            checkStop(evidence, stop, tally);
        }
        return tally.verdict();
    }

    private static void checkReboot(Evidence evidence, HostEvent event, Tally tally) {
        Instant up = Instant.MAX;
        for (HostEvent other : evidence.hostEvents()) {
            boolean back =
                    other.worker().equals(event.worker())
                            && other.state() == HostEntry.State.LIVE
                            && !other.at().isBefore(event.at());
            if (back) {
                up = other.at();
                break;
            }
        }
        Instant end = up;
        long cut =
                evidence.receipts().stream()
                        .filter(r -> r.worker().equals(event.worker().value()))
                        .filter(r -> r.ending() == Receipt.Ending.CUT)
                        .filter(r -> !r.end().isBefore(event.at()) && r.end().isBefore(end))
                        .count();
        tally.check(cut == 0, () -> "reboot of " + event.worker() + " cut " + cut + " requests");
    }

    private static void checkStop(Evidence evidence, Evidence.PlannedStop stop, Tally tally) {
        for (CallRecord call : evidence.calls()) {
            boolean inFlight =
                    call.target().equals(stop.daemon())
                            && call.sent().isBefore(stop.begin())
                            && call.ended().isAfter(stop.begin());
            if (!inFlight || call.reason().equals(CallRecord.GIVEN_UP)) {
                continue;
            }
            tally.check(
                    call.outcome().isPresent(),
                    () -> call.nonce() + " was cut by the stop of " + stop.daemon());
        }
    }
}
