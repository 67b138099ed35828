package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.port.CommitResult;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.core.port.StoreException;
import org.crocusgrade.core.port.StoreTransaction;
import org.crocusgrade.core.schedule.TrackedSubmission;
import org.crocusgrade.core.submission.SubmissionId;
import org.crocusgrade.core.submission.SubmissionState;
import org.crocusgrade.daemon.log.Event;

/**
 * Writes the records of a pool in batches, with a few transactions in flight, no two of which
 * contain the same record.
 *
 * <p>Each transaction requires that the key of the owner still has the revision of this ownership,
 * so a deposed owner can neither accept a submission nor change its progress. It also requires the
 * last known revision of each record, so a write whose answer was lost cannot take effect after a
 * newer one. A lost answer is resolved by writing again: if the first write was applied, the second
 * is rejected with the current entry, which then equals what was to be written.
 */
final class RecordWriter {
    /**
     * How long progress that no caller waits for is collected before it is written, in
     * milliseconds.
     */
    private static final long FLUSH_DELAY_MILLIS = 80;

    /** Delay after a failed transaction, in milliseconds. */
    private static final long RETRY_MILLIS = 150;

    /** Minimum time for which a record is kept beyond its retention time. */
    private static final Duration RETENTION_MARGIN = Duration.ofSeconds(10);

    private static final int ENTRIES_PER_RECORD = 2;

    /**
     * Maximum number of transactions in flight: enough for a surge while the store answers slowly.
     */
    private static final int MAX_IN_FLIGHT = 3;

    private final BatchRuntime runtime;
    private final ServiceId service;
    private final DutyOwnership ownership;
    private final Set<TrackedSubmission> dirtySubmissions;
    private final Listener listener;
    private final Deque<Creation> creations = new ArrayDeque<>();
    private final Deque<TrackedSubmission> expired = new ArrayDeque<>();
    private final Map<SubmissionId, Long> revisions = new HashMap<>();
    private final Set<TrackedSubmission> beingWritten = new HashSet<>();
    private final Set<Batch> inFlight = new LinkedHashSet<>();
    private final StoreCircuitBreaker breaker = new StoreCircuitBreaker();
    private boolean stopped;
    private boolean flushScheduled;
    private boolean probing;

    RecordWriter(
            BatchRuntime runtime,
            ServiceId service,
            DutyOwnership ownership,
            Set<TrackedSubmission> dirtySubmissions,
            Listener listener) {
        this.runtime = runtime;
        this.service = service;
        this.ownership = ownership;
        this.dirtySubmissions = dirtySubmissions;
        this.listener = listener;
    }

    /** Sets the revision of a progress record that was read from the store. */
    void restore(SubmissionId id, long revision) {
        revisions.put(id, revision);
    }

    /** Stores a new submission, or refuses it immediately while the store is unavailable. */
    void create(TrackedSubmission submission, byte[] record, Consumer<CreateResult> done) {
        if (isUnavailable()) {
            done.accept(CreateResult.NOT_STORED);
            return;
        }
        creations.add(new Creation(submission, record, done));
        flush();
    }

    /**
     * Writes pending changes: immediately if a submission has ended, since callers wait for that,
     * else after a short delay.
     */
    void scheduleFlush() {
        boolean urgent = dirtySubmissions.stream().anyMatch(s -> s.outcome().isFinal());
        if (urgent) {
            flush();
            return;
        }
        if (!flushScheduled && !dirtySubmissions.isEmpty()) {
            flushScheduled = true;
            runtime.after(FLUSH_DELAY_MILLIS, this::runScheduledFlush);
        }
    }

    /** Queues the records of a submission whose retention time has passed for deletion. */
    void expire(TrackedSubmission submission) {
        expired.add(submission);
    }

    /** Refuses submissions that have not been sent, while the store is unavailable. */
    void tick() {
        if (isUnavailable()) {
            refuseUnsent();
        }
    }

    private boolean isUnavailable() {
        long now = runtime.clock().nanoTime();
        boolean overdue =
                !inFlight.isEmpty() && breaker.isOverdue(inFlight.iterator().next().sentNanos, now);
        return overdue || breaker.isOpen();
    }

    /** Returns when a caller that is refused because of the store should retry. */
    Duration retryAfter() {
        return breaker.retryAfter(runtime.clock().nanoTime());
    }

    private void refuseUnsent() {
        List<Creation> unsent = new ArrayList<>();
        creations.removeIf(c -> !c.attempted && unsent.add(c));
        unsent.forEach(c -> c.done.accept(CreateResult.NOT_STORED));
    }

    /** Reads the key of the duty until the store answers; writes wait meanwhile. */
    private void probe() {
        if (probing || stopped || !breaker.isOpen()) {
            return;
        }
        probing = true;
        runtime.store()
                .get(ownership.key())
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        e -> {
                            probing = false;
                            breaker.answered();
                            runtime.log().log(
                                    Event.DEPENDENCY_REGAINED,
                                    "dependency",
                                    "store",
                                    "pool",
                                    service);
                            flush();
                        },
                        f -> {
                            probing = false;
                            runtime.after(RETRY_MILLIS, this::probe);
                        });
    }

    boolean isStopped() {
        return stopped;
    }

    /** Returns whether nothing is in flight or waits to be written. */
    boolean isIdle() {
        return inFlight.isEmpty() && creations.isEmpty() && dirtySubmissions.isEmpty();
    }

    /**
     * Starts no more writes. Waiting submissions are reported as not stored if they were never
     * sent, else as unknown.
     */
    void stop() {
        stopped = true;
        List<Creation> open = new ArrayList<>(creations);
        creations.clear();
        for (Creation creation : open) {
            boolean notApplied = !creation.attempted;
            creation.done.accept(notApplied ? CreateResult.NOT_STORED : CreateResult.UNKNOWN);
        }
    }

    private void runScheduledFlush() {
        flushScheduled = false;
        flush();
    }

    private void flush() {
        while (inFlight.size() < MAX_IN_FLIGHT && !stopped && !breaker.isOpen()) {
            Batch batch = nextBatch();
            if (batch.isEmpty()) {
                return;
            }
            send(batch);
        }
    }

    private void send(Batch batch) {
        inFlight.add(batch);
        batch.sentNanos = runtime.clock().nanoTime();
        batch.progress.forEach(p -> beingWritten.add(p.submission));
        runtime.store()
                .commit(batch.change.build())
                .emitOn(runtime.loop())
                .subscribe()
                .with(r -> onAnswer(batch, r), f -> onFailure(batch, f));
    }

    private Batch nextBatch() {
        Batch batch = new Batch();
        batch.change.expect(ownership.key(), ownership.token());
        while (!creations.isEmpty() && batch.change.room() >= ENTRIES_PER_RECORD) {
            batch.add(creations.remove());
        }
        addProgress(batch, true);
        addProgress(batch, false);
        while (!expired.isEmpty() && batch.change.room() >= ENTRIES_PER_RECORD) {
            TrackedSubmission old = expired.remove();
            batch.change.delete(StoreKeys.submission(old.id()));
            batch.change.delete(StoreKeys.progress(old.id()));
            batch.expired.add(old);
        }
        return batch;
    }

    private void addProgress(Batch batch, boolean ended) {
        for (TrackedSubmission submission : dirtySubmissions) {
            if (batch.change.room() < ENTRIES_PER_RECORD) {
                return;
            }
            boolean free = !beingWritten.contains(submission);
            if (free && submission.outcome().isFinal() == ended) {
                long revision = revisions.getOrDefault(submission.id(), KeyValueStore.ABSENT);
                batch.add(submission, revision, RecordCodec.progress(service, submission));
            }
        }
    }

    private void end(Batch batch) {
        inFlight.remove(batch);
        batch.progress.forEach(p -> beingWritten.remove(p.submission));
    }

    private void onAnswer(Batch batch, CommitResult result) {
        end(batch);
        breaker.answered();
        if (stopped) {
            batch.creations.forEach(c -> c.done.accept(resultOf(result)));
            return;
        }
        if (result.applied()) {
            listener.onConfirmed(result.revision());
            onApplied(batch, result.revision());
        } else {
            onConflict(batch, result);
        }
        listener.onWritten();
        flush();
    }

    private static CreateResult resultOf(CommitResult result) {
        return result.applied() ? CreateResult.CREATED : CreateResult.UNKNOWN;
    }

    private void onApplied(Batch batch, long revision) {
        for (Progress progress : batch.progress) {
            TrackedSubmission submission = progress.submission;
            revisions.put(submission.id(), revision);
            if (progress.state.isFinal() && !submission.visibleState().isFinal()) {
                logEnd(submission, progress.state, revision);
            }
            submission.setStored(progress.change, progress.state);
            if (submission.changes() == progress.change) {
                dirtySubmissions.remove(submission);
            }
        }
        for (TrackedSubmission old : batch.expired) {
            revisions.remove(old.id());
            listener.onExpired(old);
        }
        batch.creations.forEach(c -> c.done.accept(CreateResult.CREATED));
    }

    private void logEnd(TrackedSubmission submission, SubmissionState state, long revision) {
        long age = runtime.clock().nanoTime() - submission.acceptedNanos();
        runtime.log().log(
                Event.SUBMISSION_ENDED,
                "id",
                submission.id(),
                "pool",
                service,
                "state",
                state,
                "after-ms",
                Duration.ofNanos(age).toMillis(),
                "revision",
                revision);
    }

    private void onConflict(Batch batch, CommitResult result) {
        if (result.currentRevision(ownership.key()) != ownership.token()) {
            batch.creations.forEach(
                    c ->
                            c.done.accept(
                                    c.attempted ? CreateResult.UNKNOWN : CreateResult.NOT_STORED));
            listener.onDutyLost("store shows another holder");
            return;
        }
        for (Progress progress : batch.progress) {
            SubmissionId id = progress.submission.id();
            revisions.put(id, result.currentRevision(StoreKeys.progress(id)));
        }
        expired.addAll(batch.expired);
        for (Creation creation : batch.creations) {
            StoreEntry found = result.current().get(creation.key());
            if (found == null) {
                creations.addFirst(creation);
                continue;
            }
            boolean own = Arrays.equals(found.value(), creation.record);
            creation.done.accept(own ? CreateResult.CREATED : CreateResult.EXISTS);
        }
    }

    private void onFailure(Batch batch, Throwable failure) {
        end(batch);
        boolean notApplied =
                failure instanceof StoreException e && e.kind() != StoreException.Kind.ANSWER_LOST;
        runtime.log().log(
                Event.STORE_FAILED,
                "pool",
                service,
                "records",
                batch.creations.size() + batch.progress.size(),
                "written",
                notApplied ? "no" : "unknown",
                "cause",
                failure.getMessage());
        expired.addAll(batch.expired);
        for (Creation creation : batch.creations) {
            boolean neverStored = notApplied && !creation.attempted;
            if (stopped || neverStored) {
                creation.done.accept(neverStored ? CreateResult.NOT_STORED : CreateResult.UNKNOWN);
                continue;
            }
            creation.attempted |= !notApplied;
            creations.addLast(creation);
        }
        boolean wasOpen = breaker.isOpen();
        breaker.failed(batch.sentNanos, runtime.clock().nanoTime());
        if (!breaker.isOpen()) {
            runtime.after(RETRY_MILLIS, this::flush);
            return;
        }
        if (!wasOpen) {
            runtime.log().log(Event.DEPENDENCY_LOST, "dependency", "store", "pool", service);
        }
        refuseUnsent();
        runtime.after(RETRY_MILLIS, this::probe);
    }

    /**
     * Returns whether the retention time of a submission has passed, so that its records may be
     * deleted.
     */
    boolean isExpired(TrackedSubmission submission, Instant now) {
        Duration kept = runtime.limits().statusRetention().plus(RETENTION_MARGIN);
        return submission.visibleState().isFinal()
                && submission.ended().map(t -> t.plus(kept).isBefore(now)).orElse(false);
    }

    /** Notified of the results of writes. */
    interface Listener {
        /** Called when records were stored at a revision, at which this daemon held the duty. */
        void onConfirmed(long revision);

        /** Called when the store has answered a transaction; records may have been stored. */
        void onWritten();

        /** Called when the records of a submission have been deleted. */
        void onExpired(TrackedSubmission submission);

        /**
         * Called when the key of the duty no longer has the revision of this ownership: another
         * daemon holds the duty or can claim it.
         */
        void onDutyLost(String reason);
    }

    /** Result of storing a new submission. */
    enum CreateResult {
        /** The record is stored. */
        CREATED,
        /** Another record with the same id is stored. */
        EXISTS,
        /** The record is not stored and never will be. */
        NOT_STORED,
        /** The record may be stored. */
        UNKNOWN
    }

    private static final class Creation {
        private final TrackedSubmission submission;
        private final byte[] record;
        private final Consumer<CreateResult> done;
        private boolean attempted;

        Creation(TrackedSubmission submission, byte[] record, Consumer<CreateResult> done) {
            this.submission = submission;
            this.record = record;
            this.done = done;
        }

        String key() {
            return StoreKeys.submission(submission.id());
        }
    }

    private record Progress(TrackedSubmission submission, long change, SubmissionState state) {}

    /** One transaction and the records that it contains. */
    private static final class Batch {
        private final StoreTransaction.Builder change = StoreTransaction.builder();
        private final List<Creation> creations = new ArrayList<>();
        private final List<Progress> progress = new ArrayList<>();
        private final List<TrackedSubmission> expired = new ArrayList<>();
        private long sentNanos;

        void add(Creation creation) {
            change.expect(creation.key(), KeyValueStore.ABSENT);
            change.put(creation.key(), creation.record);
            creations.add(creation);
        }

        void add(TrackedSubmission submission, long revision, byte[] record) {
            String key = StoreKeys.progress(submission.id());
            change.expect(key, revision);
            change.put(key, record);
            progress.add(new Progress(submission, submission.changes(), submission.outcome()));
        }

        boolean isEmpty() {
            return creations.isEmpty() && progress.isEmpty() && expired.isEmpty();
        }
    }
}
