package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.crocusgrade.core.id.QueueId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.schedule.TrackedSubmission;
import org.crocusgrade.core.submission.SubmissionId;
import org.crocusgrade.core.submission.SubmissionState;
import org.crocusgrade.daemon.batch.RecordWriter.CreateResult;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * What the writer reports about a record whose write is answered late, is rejected, or gets no
 * answer. Guards against a submission that is reported as refused but stored, and against callers
 * that wait for a store that is down.
 */
class RecordWriterTest implements RecordWriter.Listener {
    private static final ServiceId SERVICE = new ServiceId("quotes");
    private static final String HOLDER = "crocus/holder/pool.quotes";

    private final SimTime time = new SimTime();
    private final SimStore store = new SimStore(time, new Random(3));
    private final Set<TrackedSubmission> dirtySubmissions = new LinkedHashSet<>();
    private final List<CreateResult> results = new ArrayList<>();
    private final List<String> lossReasons = new ArrayList<>();
    private final SimStore.Client client = store.client();
    private RecordWriter writer;

    @BeforeEach
    void createWriter() {
        store.write(HOLDER, new byte[] {1});
        long token = store.read(HOLDER).orElseThrow().revision();
        BatchRuntime runtime = SimRuntime.create(time, client, new NoHosts());
        DutyOwnership ownership = new DutyOwnership(Duty.pool(SERVICE), HOLDER, token, 1);
        writer = new RecordWriter(runtime, SERVICE, ownership, dirtySubmissions, this);
    }

    @Test
    void aStoredRecordIsReportedAsCreated() {
        create(submission(1));
        time.run(20);
        assertThat(results, contains(CreateResult.CREATED));
    }

    @Test
    void aLostAnswerIsResolvedByWritingAgain() {
        store.setLostShare(1);
        create(submission(1));
        time.run(1000);
        store.setLostShare(0);
        time.run(9000);
        assertThat(results, contains(CreateResult.CREATED));
    }

    @Test
    void aRejectedWriteIsReportedAsNotStored() {
        store.setDown(true);
        create(submission(1));
        time.run(100);
        assertThat(results, contains(CreateResult.NOT_STORED));
    }

    @Test
    void aRejectionAfterALostAnswerIsReportedAsUnknown() {
        store.setLostShare(1);
        create(submission(1));
        time.run(1640);
        store.setLostShare(0);
        store.setDown(true);
        time.run(11);
        writer.stop();
        time.run(3000);
        assertThat(results, contains(CreateResult.UNKNOWN));
    }

    @Test
    void aDeposedOwnerCanStoreNothing() {
        store.write(HOLDER, new byte[] {2});
        create(submission(1));
        time.run(100);
        assertThat(results, contains(CreateResult.NOT_STORED));
        assertThat(lossReasons.size(), is(1));
    }

    @Test
    void aDelayedWriteDoesNotOverwriteANewerOne() {
        TrackedSubmission submission = submission(1);
        create(submission);
        time.run(50);
        store.setLostShare(1);
        submission.end(SubmissionState.CANCELLED, time.now());
        dirtySubmissions.add(submission);
        writer.scheduleFlush();
        time.run(5);
        store.setLostShare(0);
        time.run(10_000);
        assertThat(submission.visibleState(), is(SubmissionState.CANCELLED));
        assertThat(dirtySubmissions, empty());
        long revision = store.read(StoreKeys.progress(submission.id())).orElseThrow().revision();
        time.run(10_000);
        assertThat(
                store.read(StoreKeys.progress(submission.id())).orElseThrow().revision(),
                is(revision));
    }

    /**
     * Submissions surge while the store is down: they must be refused immediately instead of
     * waiting for an answer that will not arrive.
     */
    @Test
    void submissionsAreRefusedUnsentWhileTheStoreDoesNotAnswer() {
        client.setCut(true);
        create(submission(1));
        time.run(2000);
        for (int i = 2; i < 20; i++) {
            create(submission(i));
            assertThat(results, hasSize(i - 1));
            assertThat(results.get(i - 2), is(CreateResult.NOT_STORED));
            assertThat(store.read(StoreKeys.submission(id(i))), is(Optional.empty()));
        }
    }

    @Test
    void anOverdueWriteCausesWaitingSubmissionsToBeRefused() {
        store.setLostShare(1);
        for (int i = 1; i <= 3; i++) {
            create(submission(i));
        }
        create(submission(4));
        time.run(800);
        writer.tick();
        assertThat("a slow store is given time to answer", results, empty());
        time.run(200);
        writer.tick();
        assertThat(results, contains(CreateResult.NOT_STORED));
    }

    @Test
    void submissionsAreAcceptedAgainOnceTheStoreAnswers() {
        client.setCut(true);
        create(submission(1));
        time.run(2000);
        client.setCut(false);
        time.run(1500);
        assertThat("what was sent is resolved", results, contains(CreateResult.CREATED));
        create(submission(2));
        time.run(50);
        assertThat(results, contains(CreateResult.CREATED, CreateResult.CREATED));
    }

    @Test
    void theStoreIsProbedByOneCallAtATime() {
        store.setDown(true);
        for (int i = 1; i <= 9; i++) {
            create(submission(i));
            time.run(20);
        }
        int before = store.calls();
        time.run(1500);
        assertThat(store.calls() - before, lessThan(12));
    }

    private static SubmissionId id(int number) {
        return new SubmissionId(String.format("%016x", number));
    }

    private void create(TrackedSubmission submission) {
        writer.create(submission, new byte[] {7}, results::add);
    }

    private TrackedSubmission submission(int number) {
        return new TrackedSubmission(
                id(number),
                new QueueId("quote"),
                Optional.empty(),
                new SimFormat(false).submission(new byte[] {1}),
                3,
                time.now(),
                time.nanoTime(),
                false);
    }

    @Override
    public void onConfirmed(long revision) {}

    @Override
    public void onWritten() {
        // The tests read the store instead.
    }

    @Override
    public void onExpired(TrackedSubmission submission) {
        // No submission expires in these tests.
    }

    @Override
    public void onDutyLost(String reason) {
        lossReasons.add(reason);
    }
}
