package org.crocusgrade.daemon.batch;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionStage;
import java.util.function.Consumer;
import java.util.function.Function;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.QueueId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.AdviceService.Advice;
import org.crocusgrade.core.submission.StepId;
import org.crocusgrade.core.submission.SubmissionId;
import org.crocusgrade.core.submission.SubmissionState;
import org.crocusgrade.daemon.batch.SubmissionReply.Outcome;
import org.crocusgrade.daemon.link.CallIds;
import org.crocusgrade.daemon.link.PendingCalls;
import org.crocusgrade.peer.FrameDropReason;
import org.crocusgrade.peer.PeerException;
import org.crocusgrade.peer.PeerLink;
import org.crocusgrade.peer.PeerListener;
import org.crocusgrade.peer.proto.AdviceCallMessage;
import org.crocusgrade.peer.proto.AdviceReplyMessage;
import org.crocusgrade.peer.proto.CapGrantMessage;
import org.crocusgrade.peer.proto.Envelope;
import org.crocusgrade.peer.proto.EvacuationMessage;
import org.crocusgrade.peer.proto.PoolStatusMessage;
import org.crocusgrade.peer.proto.SubmissionCallMessage;
import org.crocusgrade.peer.proto.SubmissionOperation;
import org.crocusgrade.peer.proto.SubmissionReplyMessage;
import org.crocusgrade.peer.proto.TicketMessage;

/**
 * Remote calls between daemons. The link drops messages that it cannot send, so each call has a
 * timeout; a call without an answer may have been executed.
 */
final class PeerRpc implements PeerListener {
    /** How long the address of a daemon is kept after it has left the list of daemons. */
    private static final Duration REMOVAL_DELAY = Duration.ofSeconds(30);

    private final BatchRuntime runtime;
    private final Handler handler;
    private final PeerLink link;
    private final LinkMonitor monitor;
    private final PendingCalls<SubmissionReply> submissionCalls;
    private final PendingCalls<Optional<Advice>> adviceCalls;
    private final Map<DaemonId, Long> lastListedNanos = new HashMap<>();

    /**
     * Creates the link to the other daemons.
     *
     * @param boot the boot id of this process
     */
    PeerRpc(
            BatchRuntime runtime,
            BootId boot,
            Handler handler,
            Function<PeerListener, PeerLink> links) {
        this.runtime = runtime;
        this.handler = handler;
        this.link = links.apply(this);
        CallIds ids = new CallIds(boot);
        monitor = new LinkMonitor(runtime, link, ids);
        submissionCalls = pendingCalls("submission", ids);
        adviceCalls = pendingCalls("advice", ids);
    }

    private <R> PendingCalls<R> pendingCalls(String kind, CallIds ids) {
        return new PendingCalls<>(
                kind, ids, (delay, step) -> runtime.after(delay.toMillis(), step), runtime.log());
    }

    /** Probes the links and replaces connections that have gone silent. */
    void tick() {
        monitor.tick();
    }

    InetSocketAddress start(InetSocketAddress listen) throws PeerException {
        return link.start(listen);
    }

    CompletionStage<Void> stop() {
        return link.stop();
    }

    /**
     * Sets the addresses of the registered daemons. A daemon that has left the list may still send
     * or await answers, so it is removed only after a delay.
     */
    void setDaemons(Map<DaemonId, InetSocketAddress> daemons) {
        long now = runtime.clock().nanoTime();
        daemons.forEach(link::setAddress);
        daemons.keySet().forEach(d -> lastListedNanos.put(d, now));
        lastListedNanos
                .entrySet()
                .removeIf(
                        e -> {
                            boolean gone = now - e.getValue() > REMOVAL_DELAY.toNanos();
                            if (gone) {
                                link.removePeer(e.getKey());
                            }
                            return gone;
                        });
    }

    /** Returns whether a call can be expected to reach another daemon. */
    boolean isReachable(DaemonId peer) {
        return monitor.isReachable(peer);
    }

    /**
     * Calls another daemon; the reply has the outcome {@link Outcome#NO_ANSWER} if none arrives
     * within the timeout.
     */
    void call(DaemonId to, SubmissionCall call, Duration timeout, Consumer<SubmissionReply> reply) {
        long id =
                submissionCalls.add(
                        Set.of(to),
                        timeout,
                        reply,
                        () ->
                                reply.accept(
                                        SubmissionReply.of(
                                                Outcome.NO_ANSWER, "owner gave no answer")));
        SubmissionCallMessage message =
                SubmissionCallMessage.newBuilder()
                        .setCall(id)
                        .setService(call.service().value())
                        .setOperation(SubmissionOperation.forNumber(call.operation().ordinal() + 1))
                        .setQueue(call.queue().value())
                        .setCustomer(call.customer().map(CustomerId::value).orElse(""))
                        .setSubmission(call.submission().map(SubmissionId::value).orElse(""))
                        .setBody(ByteString.copyFrom(call.body()))
                        .setConfigVersion(call.configVersion())
                        .build();
        send(to, Envelope.newBuilder().setSubmissionCall(message).build());
    }

    /**
     * Requests advice through another daemon; the answer is empty if none arrives within the
     * timeout.
     */
    void requestAdvice(
            DaemonId to,
            StepId step,
            List<WorkerId> workers,
            Duration timeout,
            Consumer<Optional<Advice>> answer) {
        long id =
                adviceCalls.add(Set.of(to), timeout, answer, () -> answer.accept(Optional.empty()));
        AdviceCallMessage.Builder message =
                AdviceCallMessage.newBuilder()
                        .setCall(id)
                        .setSubmission(step.submission().value())
                        .setOccurrence(step.occurrence())
                        .setStep(step.step());
        workers.forEach(w -> message.addWorkers(w.value()));
        send(to, Envelope.newBuilder().setAdviceCall(message).build());
    }

    void send(DaemonId to, PoolStatusMessage status) {
        send(to, Envelope.newBuilder().setPoolStatus(status).build());
    }

    void send(DaemonId to, EvacuationMessage evacuation) {
        send(to, Envelope.newBuilder().setEvacuation(evacuation).build());
    }

    void send(DaemonId to, CapGrantMessage grant) {
        send(to, Envelope.newBuilder().setCapGrant(grant).build());
    }

    private void send(DaemonId to, Envelope message) {
        monitor.markUsed(to);
        link.send(to, message);
    }

    @Override
    public void onMessage(DaemonId from, BootId boot, Envelope message) {
        runtime.loop().execute(() -> runtime.guard(() -> dispatch(from, message)));
    }

    @Override
    public void onDrop(FrameDropReason reason) {
        // Nothing to do: calls have timeouts, and status messages are repeated.
    }

    private void dispatch(DaemonId from, Envelope message) {
        switch (message.getBodyCase()) {
            case SUBMISSION_CALL -> onSubmissionCall(from, message.getSubmissionCall());
            case SUBMISSION_REPLY -> onSubmissionReply(from, message.getSubmissionReply());
            case POOL_STATUS -> handler.onPoolStatus(from, message.getPoolStatus());
            case EVACUATION -> handler.onEvacuation(message.getEvacuation());
            case CAP_GRANT -> handler.onCapGrant(message.getCapGrant());
            case ADVICE_CALL -> onAdviceRequest(from, message.getAdviceCall());
            case ADVICE_REPLY -> onAdviceReply(from, message.getAdviceReply());
            case LINK_PROBE -> monitor.onProbe(from, message.getLinkProbe());
            default -> {
                // Messages of the request path, which this process does not serve.
            }
        }
    }

    private void onSubmissionCall(DaemonId from, SubmissionCallMessage message) {
        SubmissionCall call =
                new SubmissionCall(
                        new ServiceId(message.getService()),
                        SubmissionCall.Operation.values()[message.getOperationValue() - 1],
                        new QueueId(message.getQueue()),
                        Optional.of(message.getCustomer())
                                .filter(c -> !c.isEmpty())
                                .map(CustomerId::new),
                        Optional.of(message.getSubmission())
                                .filter(SubmissionId::isId)
                                .map(SubmissionId::new),
                        message.getBody().toByteArray(),
                        message.getConfigVersion());
        handler.onCall(call, reply -> answer(from, message.getCall(), reply));
    }

    private void answer(DaemonId to, long id, SubmissionReply reply) {
        SubmissionReplyMessage message =
                SubmissionReplyMessage.newBuilder()
                        .setCall(id)
                        .setOutcome(reply.outcome().ordinal())
                        .setState(reply.state().ordinal())
                        .setPending(reply.pending())
                        .setRetryAfterMs(Math.toIntExact(reply.retryAfter().toMillis()))
                        .setReason(reply.reason())
                        .build();
        send(to, Envelope.newBuilder().setSubmissionReply(message).build());
    }

    private void onSubmissionReply(DaemonId from, SubmissionReplyMessage message) {
        SubmissionReply reply =
                new SubmissionReply(
                        Outcome.values()[message.getOutcome()],
                        SubmissionState.values()[message.getState()],
                        message.getPending(),
                        Duration.ofMillis(message.getRetryAfterMs()),
                        message.getReason());
        submissionCalls.complete(from, message.getCall(), reply);
    }

    private void onAdviceRequest(DaemonId from, AdviceCallMessage message) {
        StepId step =
                new StepId(
                        new SubmissionId(message.getSubmission()),
                        message.getOccurrence(),
                        message.getStep());
        List<WorkerId> workers = message.getWorkersList().stream().map(WorkerId::new).toList();
        handler.onAdviceCall(step, workers, a -> answerAdvice(from, message.getCall(), a));
    }

    private void answerAdvice(DaemonId to, long id, Optional<Advice> advice) {
        AdviceReplyMessage.Builder message =
                AdviceReplyMessage.newBuilder().setCall(id).setAnswered(advice.isPresent());
        if (advice.isPresent()) {
            message.setValidityMs(Math.toIntExact(advice.get().validity().toMillis()));
            advice.get()
                    .tickets()
                    .forEach(
                            (worker, ticket) ->
                                    message.addTickets(
                                            TicketMessage.newBuilder()
                                                    .setWorker(worker.value())
                                                    .setTicket(ticket)));
        }
        send(to, Envelope.newBuilder().setAdviceReply(message).build());
    }

    private void onAdviceReply(DaemonId from, AdviceReplyMessage message) {
        adviceCalls.complete(from, message.getCall(), readAdvice(message));
    }

    private static Optional<Advice> readAdvice(AdviceReplyMessage message) {
        if (!message.getAnswered()) {
            return Optional.empty();
        }
        Map<WorkerId, String> tickets = new HashMap<>();
        message.getTicketsList()
                .forEach(t -> tickets.put(new WorkerId(t.getWorker()), t.getTicket()));
        return Optional.of(new Advice(tickets, Duration.ofMillis(message.getValidityMs())));
    }

    /** Handles calls and messages from other daemons. */
    interface Handler {
        /** Executes a caller's request that another daemon has forwarded. */
        void onCall(SubmissionCall call, Consumer<SubmissionReply> reply);

        /** Requests advice from the service on behalf of another daemon. */
        void onAdviceCall(StepId step, List<WorkerId> workers, Consumer<Optional<Advice>> answer);

        /** Receives the status of a pool from its owner. */
        void onPoolStatus(DaemonId from, PoolStatusMessage status);

        /** Receives the workers to evacuate from the holder of the fleet duty. */
        void onEvacuation(EvacuationMessage evacuation);

        /** Receives limits for customers with a cap from the holder of the fleet duty. */
        void onCapGrant(CapGrantMessage grant);
    }
}
