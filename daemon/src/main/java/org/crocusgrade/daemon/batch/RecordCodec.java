package org.crocusgrade.daemon.batch;

import com.google.protobuf.ByteString;
import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.time.Instant;
import java.util.BitSet;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.config.QueueRoute;
import org.crocusgrade.core.config.QueueRoute.AdvicePolicy;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.id.QueueId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.FormatException;
import org.crocusgrade.core.schedule.CrashHistory.Crash;
import org.crocusgrade.core.schedule.CrashHistory.Kind;
import org.crocusgrade.core.schedule.Task;
import org.crocusgrade.core.schedule.Task.UnansweredStart;
import org.crocusgrade.core.schedule.TrackedStep;
import org.crocusgrade.core.schedule.TrackedSubmission;
import org.crocusgrade.core.submission.StepId;
import org.crocusgrade.core.submission.SubmissionId;
import org.crocusgrade.core.submission.SubmissionSpec;
import org.crocusgrade.core.submission.SubmissionState;
import org.crocusgrade.core.submission.TaskId;
import org.crocusgrade.peer.proto.StoredAdvicePolicy;
import org.crocusgrade.peer.proto.StoredCrash;
import org.crocusgrade.peer.proto.StoredPolicy;
import org.crocusgrade.peer.proto.StoredProgress;
import org.crocusgrade.peer.proto.StoredStep;
import org.crocusgrade.peer.proto.StoredSubmission;
import org.crocusgrade.peer.proto.StoredTask;

/** Encodes and decodes the records of submissions in the platform's store. */
final class RecordCodec {
    private RecordCodec() {}

    static byte[] submission(
            QueueRoute queue, Optional<CustomerId> customer, Instant accepted, byte[] body) {
        return StoredSubmission.newBuilder()
                .setService(queue.service().value())
                .setQueue(queue.queue().value())
                .setCustomer(customer.map(CustomerId::value).orElse(""))
                .setAcceptedEpochMs(accepted.toEpochMilli())
                .setMaxAttempts(queue.maxAttempts())
                .setPolicy(policy(queue))
                .setBody(ByteString.copyFrom(body))
                .build()
                .toByteArray();
    }

    private static StoredPolicy policy(QueueRoute queue) {
        StoredPolicy.Builder policy =
                StoredPolicy.newBuilder()
                        .setPriority(queue.priority())
                        .setStretch(queue.stretch())
                        .setTargetMs(queue.target().toMillis());
        queue.advice()
                .ifPresent(
                        a ->
                                policy.setAdvice(
                                        StoredAdvicePolicy.newBuilder()
                                                .setDecideMs(a.decide().toMillis())
                                                .setPerWorkerMs(a.perWorker().toMillis())
                                                .setValidityMs(a.validity().toMillis())));
        return policy.build();
    }

    /**
     * Returns the queue of a stored submission, with the policy that it had when it accepted the
     * submission; empty if an older version has stored it. No call is routed to this queue.
     */
    static Optional<QueueRoute> queue(StoredSubmission stored) {
        if (!stored.hasPolicy()) {
            return Optional.empty();
        }
        StoredPolicy policy = stored.getPolicy();
        Duration target = Duration.ofMillis(policy.getTargetMs());
        return Optional.of(
                new QueueRoute(
                        new QueueId(stored.getQueue()),
                        "",
                        "",
                        new ServiceId(stored.getService()),
                        policy.getPriority(),
                        stored.getMaxAttempts(),
                        policy.getStretch(),
                        target,
                        target,
                        policy.hasAdvice() ? Optional.of(advice(policy)) : Optional.empty(),
                        false));
    }

    private static AdvicePolicy advice(StoredPolicy policy) {
        StoredAdvicePolicy advice = policy.getAdvice();
        return new AdvicePolicy(
                Duration.ofMillis(advice.getDecideMs()),
                Duration.ofMillis(advice.getPerWorkerMs()),
                Duration.ofMillis(advice.getValidityMs()));
    }

    static StoredSubmission readSubmission(byte[] value) throws FormatException {
        try {
            return StoredSubmission.parseFrom(value);
        } catch (InvalidProtocolBufferException e) {
            throw new FormatException("cannot parse stored submission", e);
        }
    }

    /** Returns the customer of a stored submission, if it has one. */
    static Optional<CustomerId> customer(StoredSubmission stored) {
        return Optional.of(stored.getCustomer()).filter(c -> !c.isEmpty()).map(CustomerId::new);
    }

    static StoredProgress readProgress(byte[] value) throws FormatException {
        try {
            StoredProgress progress = StoredProgress.parseFrom(value);
            Objects.checkIndex(progress.getState(), SubmissionState.values().length);
            return progress;
        } catch (InvalidProtocolBufferException | IndexOutOfBoundsException e) {
            throw new FormatException("cannot parse stored progress of a submission", e);
        }
    }

    static byte[] progress(ServiceId service, TrackedSubmission submission) {
        StoredProgress.Builder record =
                StoredProgress.newBuilder()
                        .setService(service.value())
                        .setState(submission.outcome().ordinal())
                        .setBegun(submission.hasBegun());
        submission.ended().ifPresent(t -> record.setFinalEpochMs(t.toEpochMilli()));
        if (submission.outcome().isFinal()) {
            return record.build().toByteArray();
        }
        submission.doneOccurrences().forEach(k -> addDone(record, submission.spec(), k));
        for (List<TrackedStep> steps : submission.occurrences()) {
            for (TrackedStep step : steps) {
                addStep(record, step);
            }
        }
        return record.build().toByteArray();
    }

    /** Restores the progress of a submission from its stored record. */
    static void restore(TrackedSubmission submission, StoredProgress record) {
        SubmissionId id = submission.id();
        for (StoredStep stored : record.getStepsList()) {
            BitSet done = BitSet.valueOf(stored.getDone().toByteArray());
            StepId step = new StepId(id, (int) stored.getOccurrence(), stored.getStep());
            for (int i = done.nextSetBit(0); i >= 0; i = done.nextSetBit(i + 1)) {
                submission
                        .task(new TaskId(step, i))
                        .ifPresent(t -> submission.complete(t.step(), t));
            }
        }
        for (StoredTask stored : record.getTasksList()) {
            StepId step = new StepId(id, (int) stored.getOccurrence(), stored.getStep());
            submission.task(new TaskId(step, stored.getIndex())).ifPresent(t -> restore(t, stored));
        }
        Optional<Instant> ended =
                record.getFinalEpochMs() == 0
                        ? Optional.empty()
                        : Optional.of(Instant.ofEpochMilli(record.getFinalEpochMs()));
        submission.restore(SubmissionState.values()[record.getState()], ended, record.getBegun());
    }

    private static void restore(Task task, StoredTask stored) {
        task.restore(stored.getFailedRunsList(), stored.getCheckpoint());
        task.restoreAnnouncement(stored.getAnnouncedRun());
        if (!stored.getUnansweredWorker().isEmpty()) {
            WorkerId worker = new WorkerId(stored.getUnansweredWorker());
            task.setUnansweredStart(
                    Optional.of(new UnansweredStart(worker, stored.getUnansweredRun())));
        }
        for (StoredCrash crash : stored.getCrashesList()) {
            task.crashes().put(new Crash(crash.getRun(), Kind.values()[crash.getKind()]));
        }
    }

    private static void addDone(
            StoredProgress.Builder record, SubmissionSpec spec, int occurrence) {
        for (int i = 0; i < spec.steps().size(); i++) {
            BitSet done = new BitSet();
            done.set(0, spec.steps().get(i).tasks());
            record.addSteps(step(occurrence, i, done));
        }
    }

    private static StoredStep step(int occurrence, int step, BitSet done) {
        return StoredStep.newBuilder()
                .setOccurrence(occurrence)
                .setStep(step)
                .setDone(ByteString.copyFrom(done.toByteArray()))
                .build();
    }

    private static void addStep(StoredProgress.Builder record, TrackedStep step) {
        BitSet done = new BitSet(step.tasks().size());
        for (Task task : step.tasks()) {
            done.set(task.id().index(), task.isDone());
            boolean plain =
                    task.failedRuns().isEmpty()
                            && task.checkpoint().isEmpty()
                            && task.unansweredStart().isEmpty()
                            && task.crashes().isEmpty();
            if (task.isDone() || plain) {
                continue;
            }
            StoredTask.Builder stored =
                    StoredTask.newBuilder()
                            .setOccurrence(step.id().occurrence())
                            .setStep(step.id().step())
                            .setIndex(task.id().index())
                            .addAllFailedRuns(task.failedRuns())
                            .setCheckpoint(task.checkpoint())
                            .setAnnouncedRun(task.announcedRun());
            task.crashes().crashes().forEach(c -> stored.addCrashes(stored(c)));
            task.unansweredStart()
                    .ifPresent(
                            s ->
                                    stored.setUnansweredWorker(s.worker().value())
                                            .setUnansweredRun(s.run()));
            record.addTasks(stored);
        }
        if (!done.isEmpty()) {
            record.addSteps(step(step.id().occurrence(), step.id().step(), done));
        }
    }

    private static StoredCrash stored(Crash crash) {
        return StoredCrash.newBuilder().setRun(crash.run()).setKind(crash.kind().ordinal()).build();
    }
}
