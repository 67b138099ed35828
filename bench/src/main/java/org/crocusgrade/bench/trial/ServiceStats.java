package org.crocusgrade.bench.trial;

import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.crocusgrade.core.dispatch.Outcome;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.standin.load.CallRecord;

/** Counts the outcomes of the calls to one service and records the waits of completed ones. */
final class ServiceStats {
    private static final long MAX_WAIT_MICROS = TimeUnit.HOURS.toMicros(1);
    private static final int SIGNIFICANT_DIGITS = 3;

    final ServiceId service;
    final Map<String, Integer> notRun = new TreeMap<>();
    final Map<String, Integer> unknown = new TreeMap<>();
    private final Histogram waits = new Histogram(MAX_WAIT_MICROS, SIGNIFICANT_DIGITS);
    int sent;
    int completed;
    int givenUp;
    int unanswered;

    ServiceStats(ServiceId service) {
        this.service = service;
    }

    void add(CallRecord call) {
        sent++;
        if (call.outcome().isEmpty()) {
            if (call.reason().equals(CallRecord.GIVEN_UP)) {
                givenUp++;
            } else {
                unanswered++;
            }
            return;
        }
        if (call.hasOutcome(Outcome.COMPLETED)) {
            completed++;
            long micros = call.waitTime().toNanos() / 1000;
            waits.recordValue(Math.min(micros, MAX_WAIT_MICROS));
            return;
        }
        Map<String, Integer> reasons = call.hasOutcome(Outcome.NOT_RUN) ? notRun : unknown;
        reasons.merge(call.reason(), 1, Integer::sum);
    }

    int notRunCount() {
        return notRun.values().stream().mapToInt(Integer::intValue).sum();
    }

    int unknownCount() {
        return unknown.values().stream().mapToInt(Integer::intValue).sum();
    }

    double waitMillis(double percentile) {
        return waits.getValueAtPercentile(percentile) / 1000.0;
    }
}
