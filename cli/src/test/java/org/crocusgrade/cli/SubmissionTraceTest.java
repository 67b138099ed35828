package org.crocusgrade.cli;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.containsString;

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

    /** Without it, an operator cannot tell why a submission without a failed run has failed. */
    @Test
    void crashesUnderATaskAndItsGivingUpAreNamed() {
        assertThat(
                findings(
                        "event=submission-accepted id=s1 pool=p1",
                        "event=run-ordered task=s1.0.0.0 run=1 worker=w1",
                        "event=worker-crashed worker=w1 runs=9 just-begun=2",
                        "event=crash-counted task=s1.0.0.0 run=1 worker=w1 just-begun=true"
                                + " crashes=1",
                        "event=crash-counted task=s1.0.0.0 run=2 worker=w2 just-begun=true"
                                + " crashes=2",
                        "event=task-given-up task=s1.0.0.0 crashes=2 sole-cause=1",
                        "event=submission-ended id=s1 pool=p1 state=FAILED after-ms=9000"),
                contains(
                        "workers crashed under task s1.0.0.0: w1, w2; it may be the cause",
                        "task s1.0.0.0 was given up after 2 crashes of its workers; it was the"
                                + " only possible cause of 1",
                        "the submission ended as FAILED after 9000 ms"));
    }

    /** Without it, an operator looks for missing workers where only the cap keeps tasks waiting. */
    @Test
    void waitForTheCapOfTheCustomerIsNamed() {
        assertThat(
                findings(
                        "event=cap-wait-started pool=p1 customer=a running=4000m/8MB/0"
                                + " wanted=2000m/4MB/0 granted=4000m/-MB/-",
                        "event=submission-accepted id=s1 pool=p1",
                        "event=request-answered id=s1 operation=SUBMIT customer=a status=200",
                        "event=run-ordered task=s1.0.0.0 run=1 worker=w1",
                        "event=cap-wait-ended pool=p1 customer=a",
                        "event=submission-ended id=s1 pool=p1 state=COMPLETED after-ms=1200"),
                contains(
                        "tasks of customer a waited for its cap in pool p1 from 0 to 4 (running"
                                + " 4000m/8MB/0, granted 4000m/-MB/-, wanted 2000m/4MB/0); the"
                                + " first run of this submission was ordered at 3",
                        "the submission ended as COMPLETED after 1200 ms"));
    }

    /** A submission that still waits has no later line of its own. */
    @Test
    void waitForTheCapThatBeginsAfterTheLastLineOfAWaitingSubmissionIsNamed() {
        assertThat(
                findings(
                        "event=submission-accepted id=s1 pool=p1",
                        "event=request-answered id=s1 operation=SUBMIT customer=a status=200",
                        "event=cap-wait-started pool=p1 customer=a running=r wanted=w granted=g"),
                contains(
                        "tasks of customer a waited for its cap in pool p1 from 2 to the end of"
                                + " the logs (running r, granted g, wanted w); no run of this"
                                + " submission was ordered"));
    }

    /** Guards against a cap named as the cause that cannot have been it. */
    @Test
    void waitsOfOthersAndOfOtherTimesAreNotNamed() {
        assertThat(
                findings(
                        "event=cap-wait-started pool=p1 customer=a running=r wanted=w granted=g",
                        "event=cap-wait-ended pool=p1 customer=a",
                        "event=submission-accepted id=s1 pool=p1",
                        "event=request-answered id=s1 operation=STATE customer=b status=403",
                        "event=request-answered id=s1 operation=SUBMIT customer=a status=200",
                        "event=cap-wait-started pool=p1 customer=b running=r wanted=w granted=g",
                        "event=cap-wait-started pool=p2 customer=a running=r wanted=w granted=g",
                        "event=submission-ended id=s1 pool=p1 state=COMPLETED after-ms=9",
                        "event=cap-wait-started pool=p1 customer=a running=r wanted=w granted=g"),
                contains("the submission ended as COMPLETED after 9 ms"));
    }

    /** A replaced owner logs no end, and its later lines say nothing about the new owner. */
    @Test
    void waitForTheCapEndsWithTheOwnership() {
        List<LogLine> lines =
                List.of(
                        line("d1", 0, "event=submission-accepted id=s1 pool=p1"),
                        line("d1", 1, "event=request-answered id=s1 customer=a status=200"),
                        line("d1", 2, "event=cap-wait-started pool=p1 customer=a"),
                        line("d2", 3, "event=duty-gained duty=pool.p1 token=7 term=2"),
                        line("d2", 4, "event=cap-wait-started pool=p1 customer=a"),
                        line("d1", 5, "event=cap-wait-ended pool=p1 customer=a"),
                        line("d1", 6, "event=duty-lost duty=pool.p1 token=6"),
                        line("d2", 7, "event=cap-wait-ended pool=p1 customer=a"));
        assertThat(
                SubmissionTrace.of(SUBMISSION, lines).orElseThrow().findings(),
                contains(
                        containsString("from 2 to the change of owner at 3 "),
                        containsString("the owner of the pool changed at 3"),
                        containsString("from 4 to 7 ")));
    }

    private static LogLine line(String daemon, int time, String fields) {
        return LogLine.parse("day.log", daemon + " ts=" + time + " " + fields).orElseThrow();
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
