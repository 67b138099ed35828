package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.port.FormatException;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.core.submission.SubmissionId;
import org.crocusgrade.core.submission.SubmissionState;
import org.crocusgrade.daemon.batch.SubmissionCall.Operation;
import org.crocusgrade.daemon.batch.SubmissionReply.Outcome;
import org.crocusgrade.daemon.log.Event;
import org.crocusgrade.peer.proto.StoredProgress;
import org.crocusgrade.peer.proto.StoredSubmission;

/**
 * Forwards a request of a caller to the owner of the pool, in this daemon or another.
 *
 * <p>A submission is reported as refused only if it was certainly not accepted. If the owner gives
 * no answer, the outcome is {@link Outcome#NO_ANSWER}, and the caller may retry with the same id. A
 * submission is reported as unknown only if the store has no record of it.
 */
public final class SubmissionGateway {
    /** Time allowed for the answer of an owner: most of the shortest timeout of a caller. */
    private static final Duration OWNER_TIMEOUT = Duration.ofMillis(1800);

    /** Delay before a request is sent to a new owner, in milliseconds. */
    private static final long REDIRECT_DELAY_MILLIS = 80;

    /**
     * Maximum number of redirects; with the delay between them, about the duration of a prepared
     * takeover.
     */
    private static final int MAX_REDIRECTS = 9;

    private final BatchRuntime runtime;
    private final DaemonId self;
    private final Function<Duty, Optional<DaemonId>> holders;
    private final Function<ServiceId, Optional<PoolOwner>> owners;
    private final PeerRpc peers;

    SubmissionGateway(
            BatchRuntime runtime,
            DaemonId self,
            Function<Duty, Optional<DaemonId>> holders,
            Function<ServiceId, Optional<PoolOwner>> owners,
            PeerRpc peers) {
        this.runtime = runtime;
        this.self = self;
        this.holders = holders;
        this.owners = owners;
        this.peers = peers;
    }

    /** Executes a call; the reply is delivered on the loop, exactly once. */
    public void call(SubmissionCall call, Consumer<SubmissionReply> reply) {
        call(call, 0, r -> onReply(call, r, reply));
    }

    private void call(SubmissionCall call, int redirects, Consumer<SubmissionReply> reply) {
        Optional<DaemonId> holder = holders.apply(Duty.pool(call.service()));
        Consumer<SubmissionReply> next = r -> redirect(call, redirects, r, reply);
        if (holder.isEmpty()) {
            next.accept(SubmissionReply.of(Outcome.NOT_OWNER, "pool has no owner"));
            return;
        }
        Optional<PoolOwner> owner = owners.apply(call.service());
        if (owner.isPresent()) {
            owner.get().handle(call, next);
        } else if (holder.get().equals(self)) {
            next.accept(SubmissionReply.of(Outcome.NOT_OWNER, "duty just ended"));
        } else if (!peers.isReachable(holder.get())) {
            next.accept(SubmissionReply.of(Outcome.UNAVAILABLE, "owner does not answer probes"));
        } else {
            peers.call(holder.get(), call, OWNER_TIMEOUT, next);
        }
    }

    private void redirect(
            SubmissionCall call,
            int redirects,
            SubmissionReply answer,
            Consumer<SubmissionReply> reply) {
        if (answer.outcome() != Outcome.NOT_OWNER || redirects >= MAX_REDIRECTS) {
            reply.accept(answer);
            return;
        }
        runtime.after(REDIRECT_DELAY_MILLIS, () -> call(call, redirects + 1, reply));
    }

    private void onReply(
            SubmissionCall call, SubmissionReply answer, Consumer<SubmissionReply> reply) {
        boolean unowned = answer.outcome() == Outcome.NOT_OWNER;
        if (call.operation() == Operation.SUBMIT) {
            reply.accept(
                    unowned || answer.outcome() == Outcome.UNAVAILABLE
                            ? SubmissionReply.refused(answer.retryAfter(), answer.reason())
                            : answer);
            return;
        }
        boolean unresolved =
                unowned
                        || answer.outcome() == Outcome.UNAVAILABLE
                        || answer.outcome() == Outcome.NO_ANSWER
                        || answer.outcome() == Outcome.UNKNOWN_SUBMISSION;
        if (!unresolved || call.submission().isEmpty()) {
            reply.accept(
                    unowned ? SubmissionReply.of(Outcome.UNAVAILABLE, answer.reason()) : answer);
            return;
        }
        lookUpInStore(call, answer, reply);
    }

    /** Looks up in the store what the owner could not answer. */
    private void lookUpInStore(
            SubmissionCall call, SubmissionReply answer, Consumer<SubmissionReply> reply) {
        SubmissionId id = call.submission().orElseThrow();
        runtime.store()
                .get(StoreKeys.submission(id))
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        e -> runtime.guard(() -> onStored(call, answer, e, reply)),
                        f -> reply.accept(unavailable(id, f)));
    }

    private void onStored(
            SubmissionCall call,
            SubmissionReply answer,
            Optional<StoreEntry> entry,
            Consumer<SubmissionReply> reply) {
        if (entry.isEmpty()) {
            reply.accept(SubmissionReply.of(Outcome.UNKNOWN_SUBMISSION, "not stored"));
            return;
        }
        SubmissionId id = call.submission().orElseThrow();
        try {
            StoredSubmission stored = RecordCodec.readSubmission(entry.get().value());
            if (!call.mayAccess(RecordCodec.customer(stored))) {
                reply.accept(SubmissionReply.forbidden());
                return;
            }
            ServiceId service = new ServiceId(stored.getService());
            if (!service.equals(call.service())) {
                call(
                        call.to(service),
                        0,
                        r ->
                                reply.accept(
                                        r.outcome() == Outcome.DONE
                                                ? r
                                                : SubmissionReply.of(
                                                        Outcome.UNAVAILABLE, r.reason())));
                return;
            }
        } catch (FormatException e) {
            reply.accept(unavailable(id, e));
            return;
        }
        if (call.operation() != Operation.STATE) {
            reply.accept(SubmissionReply.of(Outcome.UNAVAILABLE, answer.reason()));
            return;
        }
        readState(id, reply);
    }

    private void readState(SubmissionId id, Consumer<SubmissionReply> reply) {
        runtime.store()
                .get(StoreKeys.progress(id))
                .emitOn(runtime.loop())
                .subscribe()
                .with(e -> reply.accept(stateOf(id, e)), f -> reply.accept(unavailable(id, f)));
    }

    private SubmissionReply stateOf(SubmissionId id, Optional<StoreEntry> entry) {
        if (entry.isEmpty()) {
            return SubmissionReply.done(SubmissionState.QUEUED);
        }
        try {
            StoredProgress progress = RecordCodec.readProgress(entry.get().value());
            SubmissionState state = SubmissionState.values()[progress.getState()];
            boolean running = state == SubmissionState.QUEUED && progress.getBegun();
            return SubmissionReply.done(running ? SubmissionState.RUNNING : state);
        } catch (FormatException e) {
            return unavailable(id, e);
        }
    }

    private SubmissionReply unavailable(SubmissionId id, Throwable cause) {
        runtime.log().log(Event.STORE_FAILED, "id", id, "cause", cause.getMessage());
        return SubmissionReply.of(Outcome.UNAVAILABLE, "neither owner nor store can tell");
    }
}
