package org.crocusgrade.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;

import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/**
 * Each finding names what the log line is about. A placeholder stays in the text if the values are
 * formatted into the last of several joined strings only.
 */
class SubmissionTraceTest {
    private static final String SUBMISSION = "s1";

    @Test
    void findingsHoldTheValuesOfTheirLines() {
        assertThat(
                findings(
                        "event=submission-accepted id=s1 pool=p1",
                        "event=run-ordered task=s1.0.0.0 run=1 worker=w1",
                        "event=run-not-started task=s1.0.0.0 run=1 worker=w1 answer=NO_ROOM",
                        "event=worker-lapsed pool=p1 worker=w1 runs=1",
                        "event=duty-gained duty=pool.p1 token=7 term=2",
                        "event=pool-settled pool=p1 fenced=false after-ms=900",
                        "event=submission-ended id=s1 pool=p1 state=COMPLETED after-ms=1200"),
                contains(
                        "the start of a run on w1 was answered with NO_ROOM",
                        "worker w1 did not respond; tasks waited for its leases to expire",
                        "the owner of the pool changed at 4 (term 2)",
                        "the new owner could not query every worker and waited 900 ms",
                        "the submission ended as COMPLETED after 1200 ms"));
    }

    private static List<String> findings(String... events) {
        List<LogLine> lines =
                Stream.iterate(0, i -> i + 1)
                        .limit(events.length)
                        .map(i -> LogLine.parse("day.log", "ts=" + i + " " + events[i]))
                        .flatMap(Optional::stream)
                        .toList();
        return SubmissionTrace.of(SUBMISSION, lines).orElseThrow().findings();
    }
}
