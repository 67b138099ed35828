package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.crocusgrade.core.id.QueueId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.FormatException;
import org.crocusgrade.core.port.HostControl.PooledHost;
import org.crocusgrade.core.port.HostControl.State;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.core.schedule.TrackedSubmission;
import org.crocusgrade.core.submission.SubmissionId;
import org.crocusgrade.daemon.log.Event;
import org.crocusgrade.peer.proto.StoredProgress;
import org.crocusgrade.peer.proto.StoredSubmission;

/**
 * Loads the state of a pool for its new owner: the stored submissions and their progress, the
 * registered workers, and the workers on the pool's hosts. Everything is read after the takeover,
 * so that it includes every change that the former owner was still able to make.
 */
final class PoolLoader {
    private static final long RETRY_MILLIS = 200;

    /**
     * Interval between reads of the host list until all runs are accounted for, in milliseconds.
     */
    private static final long HOSTS_POLL_MILLIS = 400;

    private final BatchRuntime runtime;
    private final PoolOwner owner;
    private final WorkerRegistry registry;
    private final QueueRegistry queues;
    private final Map<SubmissionId, StoredSubmission> submissions = new HashMap<>();

    PoolLoader(
            BatchRuntime runtime, PoolOwner owner, WorkerRegistry registry, QueueRegistry queues) {
        this.runtime = runtime;
        this.owner = owner;
        this.registry = registry;
        this.queues = queues;
    }

    void start() {
        if (owner.isStopped()) {
            return;
        }
        runtime.store()
                .list(StoreKeys.SUBMISSIONS)
                .emitOn(runtime.loop())
                .subscribe()
                .with(e -> runtime.guard(() -> onSubmissions(e)), f -> retry("submissions", f));
    }

    private void retry(String what, Throwable failure) {
        runtime.log().log(
                Event.STORE_FAILED,
                "pool",
                owner.service(),
                "reading",
                what,
                "cause",
                failure.getMessage());
        runtime.after(RETRY_MILLIS, this::start);
    }

    private void onSubmissions(List<StoreEntry> found) {
        submissions.clear();
        for (StoreEntry entry : found) {
            try {
                StoredSubmission stored = RecordCodec.readSubmission(entry.value());
                if (stored.getService().equals(owner.service().value())) {
                    String id = entry.key().substring(StoreKeys.SUBMISSIONS.length());
                    submissions.put(new SubmissionId(id), stored);
                }
            } catch (FormatException | RuntimeException e) {
                unreadable(entry, e);
            }
        }
        runtime.store()
                .list(StoreKeys.PROGRESS)
                .emitOn(runtime.loop())
                .subscribe()
                .with(e -> runtime.guard(() -> onProgress(e)), f -> retry("progress", f));
    }

    private void onProgress(List<StoreEntry> found) {
        Map<SubmissionId, StoredProgress> progress = new HashMap<>();
        Map<SubmissionId, Long> revisions = new HashMap<>();
        for (StoreEntry entry : found) {
            try {
                String id = entry.key().substring(StoreKeys.PROGRESS.length());
                SubmissionId submission = new SubmissionId(id);
                if (submissions.containsKey(submission)) {
                    progress.put(submission, RecordCodec.readProgress(entry.value()));
                    revisions.put(submission, entry.revision());
                }
            } catch (FormatException | RuntimeException e) {
                unreadable(entry, e);
            }
        }
        List<TrackedSubmission> tracked = new ArrayList<>();
        for (Map.Entry<SubmissionId, StoredSubmission> stored : submissions.entrySet()) {
            track(stored.getKey(), stored.getValue(), progress.get(stored.getKey()))
                    .ifPresent(tracked::add);
        }
        registry.refresh(
                () -> {
                    owner.load(tracked, revisions);
                    runtime.guard(() -> owner.onWorkers(registry.workers()));
                    readHosts();
                },
                f -> retry("workers", f));
    }

    private Optional<TrackedSubmission> track(
            SubmissionId id, StoredSubmission stored, StoredProgress progress) {
        Instant accepted = Instant.ofEpochMilli(stored.getAcceptedEpochMs());
        Duration age = Duration.between(accepted, runtime.clock().now());
        try {
            TrackedSubmission submission =
                    new TrackedSubmission(
                            id,
                            new QueueId(stored.getQueue()),
                            RecordCodec.customer(stored),
                            runtime.format().submission(stored.getBody().toByteArray()),
                            stored.getMaxAttempts(),
                            accepted,
                            runtime.clock().nanoTime() - Math.max(0, age.toNanos()),
                            true);
            if (progress != null) {
                RecordCodec.restore(submission, progress);
            }
            RecordCodec.queue(stored).ifPresent(q -> queues.remember(q, accepted));
            return Optional.of(submission);
        } catch (FormatException | RuntimeException e) {
            runtime.log().log(Event.RECORD_UNREADABLE, "id", id, "cause", e);
            return Optional.empty();
        }
    }

    private void readHosts() {
        if (owner.isStopped() || owner.scheduler().isSettled()) {
            return;
        }
        runtime.hosts()
                .hosts()
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        h -> {
                            owner.onLiveWorkers(liveWorkers(h));
                            runtime.after(HOSTS_POLL_MILLIS, this::readHosts);
                        },
                        f -> runtime.after(HOSTS_POLL_MILLIS, this::readHosts));
    }

    private Set<WorkerId> liveWorkers(List<PooledHost> hosts) {
        Set<WorkerId> live = new HashSet<>();
        for (PooledHost host : hosts) {
            if (host.pool().equals(owner.service()) && host.state() == State.UP) {
                host.worker().ifPresent(live::add);
            }
        }
        return live;
    }

    private void unreadable(StoreEntry entry, Exception cause) {
        runtime.log().log(Event.RECORD_UNREADABLE, "key", entry.key(), "cause", cause);
    }
}
