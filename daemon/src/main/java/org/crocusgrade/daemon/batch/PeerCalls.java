package org.crocusgrade.daemon.batch;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.QueueId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.AdviceService.Advice;
import org.crocusgrade.core.submission.StepId;
import org.crocusgrade.core.submission.SubmissionId;
import org.crocusgrade.core.submission.SubmissionState;
import org.crocusgrade.daemon.batch.SubmissionReply.Outcome;
import org.crocusgrade.peer.FrameDropReason;
import org.crocusgrade.peer.PeerException;
import org.crocusgrade.peer.PeerLink;
import org.crocusgrade.peer.PeerListener;
import org.crocusgrade.peer.proto.AdviceCallMessage;
import org.crocusgrade.peer.proto.AdviceReplyMessage;
import org.crocusgrade.peer.proto.Envelope;
import org.crocusgrade.peer.proto.EvacuationMessage;
import org.crocusgrade.peer.proto.PoolStatusMessage;
import org.crocusgrade.peer.proto.SubmissionCallMessage;
import org.crocusgrade.peer.proto.SubmissionOperation;
import org.crocusgrade.peer.proto.SubmissionReplyMessage;
import org.crocusgrade.peer.proto.TicketMessage;

/**
 * Calls between daemons. The link drops what it cannot send, so each call has a deadline; a call
 * without an answer may have been carried out.
 */
final class PeerCalls implements PeerListener {
    /** How long a daemon that left the list is still known. */
    private static final Duration FORGET_AFTER = Duration.ofSeconds(30);

    private final Runtime runtime;
    private final Handler handler;
    private final PeerLink node;
    private final LinkProbes probes;
    private final Map<Long, Consumer<SubmissionReply>> pending = new HashMap<>();
    private final Map<Long, Consumer<Optional<Advice>>> pendingAdvice = new HashMap<>();
    private final Map<DaemonId, Long> listedNanos = new HashMap<>();
    private long lastCall;

    PeerCalls(Runtime runtime, Handler handler, Function<PeerListener, PeerLink> links) {
        this.runtime = runtime;
        this.handler = handler;
        this.node = links.apply(this);
        probes = new LinkProbes(runtime, node);
    }

    /** Replaces connections that have fallen silent. */
    void tick() {
        probes.tick();
    }

    InetSocketAddress start(InetSocketAddress listen) throws PeerException {
        return node.start(listen);
    }

    void stop() {
        node.stop();
    }

    /**
     * Takes where the daemons are. One that has left the list may still be owed answers, and may
     * answer, so it is forgotten only after a while.
     */
    void setDaemons(Map<DaemonId, InetSocketAddress> daemons) {
        long now = runtime.clock().nanoTime();
        daemons.forEach(node::setAddress);
        daemons.keySet().forEach(d -> listedNanos.put(d, now));
        listedNanos
                .entrySet()
                .removeIf(
                        e -> {
                            boolean gone = now - e.getValue() > FORGET_AFTER.toNanos();
                            if (gone) {
                                node.removePeer(e.getKey());
                            }
                            return gone;
                        });
    }

    /** Returns whether nothing speaks against it that a call reaches another daemon. */
    boolean isReachable(DaemonId peer) {
        return probes.isReachable(peer);
    }

    /** Calls another daemon; the reply says {@link Outcome#NO_ANSWER} if none comes in time. */
    void call(DaemonId to, SubmissionCall call, Duration timeout, Consumer<SubmissionReply> reply) {
        long number = ++lastCall;
        pending.put(number, reply);
        SubmissionCallMessage message =
                SubmissionCallMessage.newBuilder()
                        .setCall(number)
                        .setService(call.service().value())
                        .setOperation(SubmissionOperation.forNumber(call.operation().ordinal() + 1))
                        .setQueue(call.queue().value())
                        .setSubmission(call.submission().map(SubmissionId::value).orElse(""))
                        .setBody(ByteString.copyFrom(call.body()))
                        .setConfigVersion(call.configVersion())
                        .build();
        send(to, Envelope.newBuilder().setSubmissionCall(message).build());
        runtime.after(timeout.toMillis(), () -> expire(number));
    }

    /** Lets another daemon ask for advice; the answer is empty if none comes in time. */
    void askAdvice(
            DaemonId to,
            StepId step,
            List<WorkerId> workers,
            Duration timeout,
            Consumer<Optional<Advice>> answer) {
        long number = ++lastCall;
        pendingAdvice.put(number, answer);
        AdviceCallMessage.Builder message =
                AdviceCallMessage.newBuilder()
                        .setCall(number)
                        .setSubmission(step.submission().value())
                        .setOccurrence(step.occurrence())
                        .setStep(step.step());
        workers.forEach(w -> message.addWorkers(w.value()));
        send(to, Envelope.newBuilder().setAdviceCall(message).build());
        runtime.after(timeout.toMillis(), () -> takeAdvice(number, Optional.empty()));
    }

    void send(DaemonId to, PoolStatusMessage status) {
        send(to, Envelope.newBuilder().setPoolStatus(status).build());
    }

    void send(DaemonId to, EvacuationMessage evacuation) {
        send(to, Envelope.newBuilder().setEvacuation(evacuation).build());
    }

    private void send(DaemonId to, Envelope message) {
        probes.used(to);
        node.send(to, message);
    }

    private void expire(long number) {
        Consumer<SubmissionReply> reply = pending.remove(number);
        if (reply != null) {
            reply.accept(SubmissionReply.of(Outcome.NO_ANSWER, "owner gave no answer"));
        }
    }

    @Override
    public void onMessage(DaemonId from, BootId boot, Envelope message) {
        runtime.loop().execute(() -> runtime.guard(() -> take(from, message)));
    }

    @Override
    public void onDrop(FrameDropReason reason) {
        // Calls have deadlines of their own, and status messages are repeated.
    }

    private void take(DaemonId from, Envelope message) {
        switch (message.getBodyCase()) {
            case SUBMISSION_CALL -> takeCall(from, message.getSubmissionCall());
            case SUBMISSION_REPLY -> takeReply(message.getSubmissionReply());
            case POOL_STATUS -> handler.onPoolStatus(from, message.getPoolStatus());
            case EVACUATION -> handler.onEvacuation(message.getEvacuation());
            case ADVICE_CALL -> takeAdviceCall(from, message.getAdviceCall());
            case ADVICE_REPLY -> takeAdviceReply(message.getAdviceReply());
            case LINK_PROBE -> probes.onProbe(from, message.getLinkProbe());
            default -> {
                // Messages of the request path, which this program does not run.
            }
        }
    }

    private void takeCall(DaemonId from, SubmissionCallMessage message) {
        SubmissionCall call =
                new SubmissionCall(
                        new ServiceId(message.getService()),
                        SubmissionCall.Operation.values()[message.getOperationValue() - 1],
                        new QueueId(message.getQueue()),
                        Optional.of(message.getSubmission())
                                .filter(SubmissionId::isId)
                                .map(SubmissionId::new),
                        message.getBody().toByteArray(),
                        message.getConfigVersion());
        handler.onCall(call, reply -> answer(from, message.getCall(), reply));
    }

    private void answer(DaemonId to, long number, SubmissionReply reply) {
        SubmissionReplyMessage message =
                SubmissionReplyMessage.newBuilder()
                        .setCall(number)
                        .setOutcome(reply.outcome().ordinal())
                        .setState(reply.state().ordinal())
                        .setPending(reply.pending())
                        .setRetryAfterMs(Math.toIntExact(reply.retryAfter().toMillis()))
                        .setReason(reply.reason())
                        .build();
        send(to, Envelope.newBuilder().setSubmissionReply(message).build());
    }

    private void takeReply(SubmissionReplyMessage message) {
        Consumer<SubmissionReply> reply = pending.remove(message.getCall());
        if (reply == null) {
            return;
        }
        reply.accept(
                new SubmissionReply(
                        Outcome.values()[message.getOutcome()],
                        SubmissionState.values()[message.getState()],
                        message.getPending(),
                        Duration.ofMillis(message.getRetryAfterMs()),
                        message.getReason()));
    }

    private void takeAdviceCall(DaemonId from, AdviceCallMessage message) {
        StepId step =
                new StepId(
                        new SubmissionId(message.getSubmission()),
                        message.getOccurrence(),
                        message.getStep());
        List<WorkerId> workers = message.getWorkersList().stream().map(WorkerId::new).toList();
        handler.onAdviceCall(step, workers, a -> answerAdvice(from, message.getCall(), a));
    }

    private void answerAdvice(DaemonId to, long number, Optional<Advice> advice) {
        AdviceReplyMessage.Builder message =
                AdviceReplyMessage.newBuilder().setCall(number).setAnswered(advice.isPresent());
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

    private void takeAdviceReply(AdviceReplyMessage message) {
        if (!message.getAnswered()) {
            takeAdvice(message.getCall(), Optional.empty());
            return;
        }
        Map<WorkerId, String> tickets = new HashMap<>();
        message.getTicketsList()
                .forEach(t -> tickets.put(new WorkerId(t.getWorker()), t.getTicket()));
        Duration validity = Duration.ofMillis(message.getValidityMs());
        takeAdvice(message.getCall(), Optional.of(new Advice(tickets, validity)));
    }

    private void takeAdvice(long number, Optional<Advice> advice) {
        Consumer<Optional<Advice>> answer = pendingAdvice.remove(number);
        if (answer != null) {
            answer.accept(advice);
        }
    }

    /** Gets what other daemons ask and tell. */
    interface Handler {
        /** Another daemon passes a caller's request on. */
        void onCall(SubmissionCall call, Consumer<SubmissionReply> reply);

        /** Another daemon lets this one ask for advice. */
        void onAdviceCall(StepId step, List<WorkerId> workers, Consumer<Optional<Advice>> answer);

        /** The owner of a pool tells what it needs and has. */
        void onPoolStatus(DaemonId from, PoolStatusMessage status);

        /** The holder of the fleet's duty tells which workers to empty. */
        void onEvacuation(EvacuationMessage evacuation);
    }
}
