package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.IntStream;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.schedule.TrackedStep;
import org.crocusgrade.core.schedule.TrackedSubmission;
import org.crocusgrade.core.submission.Recurrence;
import org.crocusgrade.core.submission.Resources;
import org.crocusgrade.core.submission.StepSpec;
import org.crocusgrade.core.submission.SubmissionId;
import org.crocusgrade.core.submission.SubmissionSpec;
import org.crocusgrade.core.submission.SubmissionState;
import org.crocusgrade.core.submission.TaskId;
import org.crocusgrade.daemon.batch.SubmissionCall.Operation;
import org.crocusgrade.daemon.batch.SubmissionReply.Outcome;
import org.crocusgrade.peer.proto.StoredProgress;
import org.junit.jupiter.api.Test;

/** Guards against owners that run out of memory, one after the other, with what was accepted. */
class MemoryLimitTest {
    private static final SubmissionId ID = new SubmissionId("00000000000000f1");

    @Test
    void submissionsBeyondTheMemoryAreRefusedAndTheAcceptedOnesSurviveATakeOver() {
        SimFleet fleet = new SimFleet(1, false, 4, TestLimits.LITTLE_MEMORY);
        List<SubmissionReply> replies = new ArrayList<>();
        for (int i = 0; i < 40; i++) {
            SubmissionId id = fleet.nextId();
            fleet.checks.attempted(id);
            fleet.holder()
                    .call(
                            Operation.SUBMIT,
                            id,
                            new byte[] {8},
                            r -> {
                                replies.add(r);
                                if (r.outcome() == Outcome.DONE) {
                                    fleet.accepted.put(id, SubmissionState.QUEUED);
                                } else {
                                    fleet.checks.refused(id);
                                }
                            });
        }
        fleet.time.run(100);
        List<String> reasons = replies.stream().map(SubmissionReply::reason).toList();
        assertThat(reasons, hasItem("memory"));
        assertThat(fleet.accepted.size(), greaterThan(3));
        for (SubmissionReply reply : replies) {
            if (reply.reason().equals("memory")) {
                assertThat(reply.outcome(), is(Outcome.REFUSED));
                assertThat(reply.retryAfter().toSeconds(), greaterThan(0L));
            }
        }
        DaemonId former = fleet.holder().name;
        fleet.kill(former);
        fleet.time.run(20_000);
        assertThat(fleet.unfinished(), empty());
        assertThat(fleet.checks.violations(), empty());
    }

    /** Guards against a caller that is told to come back with what can never be accepted. */
    @Test
    void submissionThatIsLargerThanTheMemoryOfThePoolIsInvalid() {
        SimFleet fleet = new SimFleet(1, false, 4, TestLimits.LITTLE_MEMORY);
        List<SubmissionReply> replies = new ArrayList<>();
        SubmissionId id = fleet.nextId();
        fleet.checks.attempted(id);
        fleet.holder().call(Operation.SUBMIT, id, new byte[] {127}, replies::add);
        fleet.time.run(100);
        assertThat(replies.get(0).outcome(), is(Outcome.INVALID));
    }

    /** The record of an occurrence that is done stays readable for earlier releases. */
    @Test
    void doneOccurrencesAreStoredAndRestored() throws Exception {
        TrackedSubmission submission = schedule();
        for (int occurrence : new int[] {0, 1, 3}) {
            complete(submission, occurrence, 0);
            complete(submission, occurrence, 1);
        }
        complete(submission, 2, 1);
        byte[] record = RecordCodec.progress(SimFleet.SERVICE, submission);
        StoredProgress stored = RecordCodec.readProgress(record);
        assertThat(stored.getStepsCount(), is(4));
        TrackedSubmission restored = schedule();
        RecordCodec.restore(restored, stored);
        assertThat(restored.doneOccurrences().toArray(), is(new int[] {0, 1, 3}));
        assertThat(restored.task(task(2, 1)).orElseThrow().isDone(), is(true));
        assertThat(restored.task(task(2, 0)).orElseThrow().isDone(), is(false));
        assertThat(restored.occurrences().size(), is(1));
        complete(restored, 2, 0);
        IntStream.range(4, 20)
                .forEach(k -> IntStream.range(0, 2).forEach(i -> complete(restored, k, i)));
        assertThat(restored.isAllDone(), is(true));
    }

    private static void complete(TrackedSubmission submission, int occurrence, int index) {
        submission
                .task(task(occurrence, index))
                .ifPresent(
                        t -> {
                            TrackedStep step = t.step();
                            submission.complete(step, t);
                        });
    }

    private static TaskId task(int occurrence, int index) {
        return TaskId.parse(ID + "." + occurrence + ".0." + index).orElseThrow();
    }

    private static TrackedSubmission schedule() {
        StepSpec step =
                new StepSpec(
                        2,
                        new Resources(500, 100, 0),
                        Duration.ofSeconds(1),
                        List.of(),
                        false,
                        false,
                        Optional.empty(),
                        Optional.empty(),
                        0,
                        false,
                        false,
                        false,
                        Optional.empty(),
                        Optional.empty(),
                        false,
                        0);
        Recurrence recurrence = new Recurrence(20, Instant.EPOCH, Duration.ofMinutes(1));
        return new TrackedSubmission(
                ID,
                SimFleet.QUEUE,
                Optional.empty(),
                new SubmissionSpec("p", List.of(step), Optional.of(recurrence)),
                3,
                Instant.EPOCH,
                0,
                true);
    }
}
