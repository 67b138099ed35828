package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.function.Consumer;
import org.crocusgrade.core.config.QueueRoute;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.port.FormatException;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.core.schedule.AdmissionDecision;
import org.crocusgrade.core.schedule.AdmissionRequest;
import org.crocusgrade.core.schedule.HeapShare;
import org.crocusgrade.core.schedule.PoolScheduler;
import org.crocusgrade.core.schedule.TrackedSubmission;
import org.crocusgrade.core.submission.SubmissionId;
import org.crocusgrade.core.submission.SubmissionSpec;
import org.crocusgrade.core.submission.SubmissionState;
import org.crocusgrade.daemon.batch.RecordWriter.CreateResult;
import org.crocusgrade.daemon.batch.SubmissionReply.Outcome;
import org.crocusgrade.daemon.log.Event;
import org.crocusgrade.peer.proto.StoredSubmission;

/**
 * Answers callers' requests to the owner of a pool. A submission is accepted, and its end or
 * cancellation reported, only once the store has recorded it.
 */
final class PoolRequests {
    /** When to retry while the pool's part of the memory is used up, which lasts for long. */
    private static final Duration MEMORY_RETRY = Duration.ofSeconds(10);

    /** How often the memory that the submissions use is added up anew. */
    private static final Duration MEASURE_INTERVAL = Duration.ofSeconds(1);

    private final BatchRuntime runtime;
    private final ServiceId service;
    private final QueueRegistry queues;
    private final PoolScheduler scheduler;
    private final RecordWriter writer;
    private final Runnable schedulePlan;
    private final Map<SubmissionId, Creation> creating = new HashMap<>();
    private final List<Awaiting> awaiting = new ArrayList<>();
    private OptionalLong measuredNanos = OptionalLong.empty();
    private long heldBytes;
    private long creatingBytes;

    PoolRequests(
            BatchRuntime runtime,
            ServiceId service,
            QueueRegistry queues,
            PoolScheduler scheduler,
            RecordWriter writer,
            Runnable schedulePlan) {
        this.runtime = runtime;
        this.service = service;
        this.queues = queues;
        this.scheduler = scheduler;
        this.writer = writer;
        this.schedulePlan = schedulePlan;
    }

    void handle(SubmissionCall call, Consumer<SubmissionReply> reply) {
        switch (call.operation()) {
            case SUBMIT -> submit(call, reply);
            case STATE -> reply.accept(state(call));
            case CANCEL -> cancel(call, reply);
            case COUNT -> reply.accept(SubmissionReply.counted(pending(call)));
            default -> throw new IllegalStateException("unsupported operation " + call.operation());
        }
    }

    private void submit(SubmissionCall call, Consumer<SubmissionReply> reply) {
        SubmissionId id = call.submission().orElseThrow();
        Optional<TrackedSubmission> held = scheduler.find(id);
        if (held.isPresent()) {
            reply.accept(
                    call.mayAccess(held.get().customer())
                            ? SubmissionReply.done(held.get().visibleState())
                            : SubmissionReply.forbidden());
            return;
        }
        Creation creation = creating.get(id);
        if (creation != null) {
            if (call.mayAccess(creation.customer)) {
                creation.waiting.add(r -> created(call, r, reply));
            } else {
                reply.accept(SubmissionReply.forbidden());
            }
            return;
        }
        Optional<QueueRoute> route = queues.table().queue(call.queue());
        if (route.isEmpty()) {
            refuse(id, reply, SubmissionReply.DEFAULT_RETRY, "queue not yet known");
            return;
        }
        SubmissionSpec spec;
        try {
            spec = runtime.format().submission(call.body());
        } catch (FormatException e) {
            reply.accept(SubmissionReply.of(Outcome.INVALID, e.getMessage()));
            return;
        }
        HeapShare share = heapShare();
        if (!share.fits(0, spec)) {
            String reason = HeapShare.bytes(spec) + " bytes, at most " + share.bytes();
            reply.accept(SubmissionReply.of(Outcome.INVALID, reason));
            return;
        }
        if (!share.fits(heldBytes + creatingBytes, spec)) {
            refuseForMemory(id, spec, share, reply);
            return;
        }
        long now = runtime.clock().nanoTime();
        AdmissionRequest request = new AdmissionRequest(id, call.customer(), route.get(), spec);
        AdmissionDecision decision = scheduler.checkAdmission(request, now);
        if (!decision.isAccepted()) {
            refuse(request, decision, reply);
            return;
        }
        store(request, decision, call, reply);
    }

    private void store(
            AdmissionRequest request,
            AdmissionDecision decision,
            SubmissionCall call,
            Consumer<SubmissionReply> reply) {
        SubmissionId id = request.id();
        QueueRoute route = request.route();
        Instant wall = runtime.clock().now();
        TrackedSubmission submission =
                new TrackedSubmission(
                        id,
                        route.queue(),
                        call.customer(),
                        request.spec(),
                        route.maxAttempts(),
                        wall,
                        runtime.clock().nanoTime(),
                        false);
        submission.setAdmission(decision);
        byte[] record = RecordCodec.submission(route, call.customer(), wall, call.body());
        Creation creation = new Creation(call.customer(), new ArrayList<>(1));
        creation.waiting.add(r -> created(call, r, reply));
        creating.put(id, creation);
        creatingBytes += HeapShare.bytes(request.spec());
        writer.create(submission, record, r -> onCreated(submission, r));
    }

    private void onCreated(TrackedSubmission submission, CreateResult result) {
        if (result == CreateResult.CREATED && !writer.isStopped()) {
            scheduler.add(submission);
            runtime.log().log(
                    Event.SUBMISSION_ACCEPTED,
                    "id",
                    submission.id(),
                    "pool",
                    service,
                    "queue",
                    submission.queue(),
                    "steps",
                    submission.spec().steps().size(),
                    "backlog-core-ms",
                    Math.round(scheduler.poolDemand().backlogCoreMillis()));
            schedulePlan.run();
        }
        creatingBytes -= HeapShare.bytes(submission.spec());
        if (result == CreateResult.CREATED) {
            heldBytes += HeapShare.bytes(submission.spec());
        }
        creating.remove(submission.id()).waiting.forEach(w -> w.accept(result));
    }

    private void created(
            SubmissionCall call, CreateResult result, Consumer<SubmissionReply> reply) {
        boolean customersMatter =
                call.customer().isPresent() || queues.table().customers().isEnabled();
        if (result == CreateResult.EXISTS && customersMatter) {
            checkStoredCustomer(call, reply);
        } else {
            reply.accept(reply(call.submission().orElseThrow(), result));
        }
    }

    /** Replies to a submission whose id is that of a record which this owner does not hold. */
    private void checkStoredCustomer(SubmissionCall call, Consumer<SubmissionReply> reply) {
        SubmissionId id = call.submission().orElseThrow();
        runtime.store()
                .get(StoreKeys.submission(id))
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        e -> runtime.guard(() -> reply.accept(existing(call, e))),
                        f -> reply.accept(unresolved(id, f)));
    }

    private SubmissionReply existing(SubmissionCall call, Optional<StoreEntry> entry) {
        SubmissionId id = call.submission().orElseThrow();
        if (entry.isEmpty()) {
            return SubmissionReply.of(Outcome.NO_ANSWER, "record was deleted meanwhile");
        }
        try {
            StoredSubmission stored = RecordCodec.readSubmission(entry.get().value());
            return call.mayAccess(RecordCodec.customer(stored))
                    ? reply(id, CreateResult.EXISTS)
                    : SubmissionReply.forbidden();
        } catch (FormatException e) {
            return unresolved(id, e);
        }
    }

    private SubmissionReply unresolved(SubmissionId id, Throwable cause) {
        runtime.log().log(Event.STORE_FAILED, "id", id, "cause", cause.getMessage());
        return SubmissionReply.of(Outcome.NO_ANSWER, "store gave no answer");
    }

    private SubmissionReply reply(SubmissionId id, CreateResult result) {
        return switch (result) {
            case CREATED, EXISTS -> SubmissionReply.done(SubmissionState.QUEUED);
            case NOT_STORED -> {
                if (writer.isStopped()) {
                    yield SubmissionReply.of(Outcome.NOT_OWNER, "handed over");
                }
                log(Event.SUBMISSION_REFUSED, id, "store unavailable");
                yield SubmissionReply.refused(writer.retryAfter(), "store unavailable");
            }
            case UNKNOWN -> SubmissionReply.of(Outcome.NO_ANSWER, "store gave no answer");
        };
    }

    /** Returns the part of the memory that the pool may use with the configuration in force. */
    private HeapShare heapShare() {
        return HeapShare.of(runtime.limits().heapBytes(), queues.table().pools().size());
    }

    /** Updates what the submissions use, and may use; between updates the sum only grows. */
    void tick() {
        long now = runtime.clock().nanoTime();
        if (measuredNanos.isPresent()
                && now - measuredNanos.getAsLong() < MEASURE_INTERVAL.toNanos()) {
            return;
        }
        measuredNanos = OptionalLong.of(now);
        heldBytes = HeapShare.bytes(scheduler.submissions());
        scheduler.setHeapShare(heapShare());
    }

    private void refuseForMemory(
            SubmissionId id,
            SubmissionSpec spec,
            HeapShare share,
            Consumer<SubmissionReply> reply) {
        refuse(
                id,
                reply,
                MEMORY_RETRY,
                "memory",
                "held-bytes",
                heldBytes + creatingBytes,
                "bytes",
                HeapShare.bytes(spec),
                "limit",
                share.bytes());
    }

    private void refuse(
            AdmissionRequest request, AdmissionDecision decision, Consumer<SubmissionReply> reply) {
        refuse(
                request.id(),
                reply,
                decision.retryAfter().orElseThrow(),
                "backlog",
                "ahead-core-ms",
                Math.round(decision.coreMillisAhead()),
                "ahead-mb-ms",
                Math.round(decision.memoryMillisAhead()),
                "batch-cores",
                Math.round(decision.capacity().cores()),
                "batch-mb",
                Math.round(decision.capacity().memoryMb()),
                "end-ms",
                decision.end().toMillis(),
                "limit-ms",
                decision.limit().toMillis(),
                "beyond-rate",
                decision.beyondRate(),
                "customer",
                request.customer().map(CustomerId::value).orElse("none"));
    }

    /**
     * Refuses a submission.
     *
     * @param inputs what the decision rests on, as keys and values for the log
     */
    private void refuse(
            SubmissionId id,
            Consumer<SubmissionReply> reply,
            Duration retry,
            String reason,
            Object... inputs) {
        List<Object> entry = new ArrayList<>();
        Collections.addAll(entry, "id", id, "pool", service, "reason", reason);
        Collections.addAll(entry, "retry-after-s", retry.toSeconds());
        Collections.addAll(entry, inputs);
        runtime.log().log(Event.SUBMISSION_REFUSED, entry.toArray());
        reply.accept(SubmissionReply.refused(retry, reason));
    }

    private SubmissionReply state(SubmissionCall call) {
        SubmissionId id = call.submission().orElseThrow();
        if (creating.containsKey(id)) {
            return SubmissionReply.of(Outcome.UNAVAILABLE, "being stored");
        }
        return scheduler
                .find(id)
                .map(s -> call.mayAccess(s.customer()) ? done(s) : SubmissionReply.forbidden())
                .orElse(SubmissionReply.of(Outcome.UNKNOWN_SUBMISSION, "not known"));
    }

    private void cancel(SubmissionCall call, Consumer<SubmissionReply> reply) {
        SubmissionId id = call.submission().orElseThrow();
        Creation creation = creating.get(id);
        if (creation != null) {
            creation.waiting.add(r -> cancel(call, reply));
            return;
        }
        Optional<TrackedSubmission> held = scheduler.find(id);
        if (held.isEmpty()) {
            reply.accept(SubmissionReply.of(Outcome.UNKNOWN_SUBMISSION, "not known"));
            return;
        }
        TrackedSubmission submission = held.get();
        if (!call.mayAccess(submission.customer())) {
            reply.accept(SubmissionReply.forbidden());
            return;
        }
        scheduler.cancel(submission, runtime.clock().now());
        schedulePlan.run();
        whenStored(
                submission,
                () -> reply.accept(done(submission)),
                () -> reply.accept(SubmissionReply.of(Outcome.NOT_OWNER, "handed over")));
        writer.scheduleFlush();
    }

    private static SubmissionReply done(TrackedSubmission submission) {
        return SubmissionReply.done(submission.visibleState());
    }

    private int pending(SubmissionCall call) {
        int count = 0;
        for (TrackedSubmission submission : scheduler.submissions()) {
            boolean waits = submission.visibleState() == SubmissionState.QUEUED;
            if (waits && submission.queue().equals(call.queue())) {
                count++;
            }
        }
        return count;
    }

    private void whenStored(TrackedSubmission submission, Runnable then, Runnable onStopped) {
        if (submission.stored() >= submission.changes()) {
            then.run();
            return;
        }
        awaiting.add(new Awaiting(submission, submission.changes(), then, onStopped));
    }

    /** Runs the replies that wait for changes that are now stored. */
    void onWritten() {
        List<Awaiting> ready = new ArrayList<>();
        awaiting.removeIf(a -> a.submission.stored() >= a.change && ready.add(a));
        ready.forEach(a -> a.then.run());
    }

    /**
     * Sends the waiting cancellations to the next owner: whether this owner's writes were applied
     * is not known, and a submission can be cancelled twice.
     */
    void stop() {
        List<Awaiting> open = List.copyOf(awaiting);
        awaiting.clear();
        open.forEach(a -> a.onStopped.run());
    }

    private void log(Event event, SubmissionId id, String reason) {
        runtime.log().log(event, "id", id, "pool", service, "reason", reason);
    }

    /** A submission that is being stored, and the calls that wait for the result. */
    private record Creation(Optional<CustomerId> customer, List<Consumer<CreateResult>> waiting) {}

    private record Awaiting(
            TrackedSubmission submission, long change, Runnable then, Runnable onStopped) {}
}
