package org.crocusgrade.daemon.batch;

import com.google.protobuf.ByteString;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.QueueId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.submission.SubmissionId;
import org.crocusgrade.core.submission.SubmissionState;
import org.crocusgrade.daemon.batch.SubmissionReply.Outcome;
import org.crocusgrade.peer.FrameDropReason;
import org.crocusgrade.peer.PeerException;
import org.crocusgrade.peer.PeerLink;
import org.crocusgrade.peer.PeerListener;
import org.crocusgrade.peer.proto.Envelope;
import org.crocusgrade.peer.proto.EvacuationMessage;
import org.crocusgrade.peer.proto.PoolStatusMessage;
import org.crocusgrade.peer.proto.SubmissionCallMessage;
import org.crocusgrade.peer.proto.SubmissionOperation;
import org.crocusgrade.peer.proto.SubmissionReplyMessage;

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

    /** Gets what other daemons ask and tell. */
    interface Handler {
        /** Another daemon passes a caller's request on. */
        void onCall(SubmissionCall call, Consumer<SubmissionReply> reply);

        /** The owner of a pool tells what it needs and has. */
        void onPoolStatus(DaemonId from, PoolStatusMessage status);

        /** The holder of the fleet's duty tells which workers to empty. */
        void onEvacuation(EvacuationMessage evacuation);
    }
}
