package org.crocusgrade.daemon.link;

import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.member.DaemonRun;
import org.crocusgrade.core.port.LeaseId;
import org.crocusgrade.peer.proto.Envelope;
import org.crocusgrade.peer.proto.FenceReplyMessage;
import org.crocusgrade.peer.proto.FenceRequestMessage;
import org.crocusgrade.peer.proto.PromiseReplyMessage;
import org.crocusgrade.peer.proto.PromiseRequestMessage;
import org.crocusgrade.peer.proto.RenewalReplyMessage;
import org.crocusgrade.peer.proto.RenewalRequestMessage;

/**
 * Creates the ownership messages: promises, fences, and lease renewals on behalf of other daemons.
 */
public final class OwnershipMessages {
    private OwnershipMessages() {}

    /**
     * Creates an owner's request for a promise.
     *
     * @param sentNanos the {@code nanoTime} at the owner when it sends the request, echoed in the
     *     reply
     */
    public static Envelope promiseRequest(DaemonRun owner, long term, long sentNanos) {
        return Envelope.newBuilder()
                .setPromiseRequest(
                        PromiseRequestMessage.newBuilder()
                                .setRun(owner.boot().value())
                                .setTerm(term)
                                .setAsked(sentNanos))
                .build();
    }

    /** Creates a witness's answer to an owner. */
    public static Envelope promiseReply(PromiseRequestMessage request, boolean granted) {
        return Envelope.newBuilder()
                .setPromiseReply(
                        PromiseReplyMessage.newBuilder()
                                .setRun(request.getRun())
                                .setTerm(request.getTerm())
                                .setAsked(request.getAsked())
                                .setGiven(granted))
                .build();
    }

    /** Creates a request for a fence against an owner's term. */
    public static Envelope fenceRequest(DaemonRun owner, long term) {
        return Envelope.newBuilder()
                .setFenceRequest(
                        FenceRequestMessage.newBuilder()
                                .setOwner(owner.daemon().value())
                                .setRun(owner.boot().value())
                                .setTerm(term))
                .build();
    }

    /** Creates a witness's answer to a request for a fence. */
    public static Envelope fenceReply(FenceRequestMessage request, boolean granted) {
        return Envelope.newBuilder()
                .setFenceReply(
                        FenceReplyMessage.newBuilder()
                                .setOwner(request.getOwner())
                                .setRun(request.getRun())
                                .setTerm(request.getTerm())
                                .setGiven(granted))
                .build();
    }

    /**
     * Creates a request to renew a lease on behalf of the sender.
     *
     * @param id assigned by the sender, echoed in the reply
     */
    public static Envelope renewalRequest(long id, LeaseId lease) {
        return Envelope.newBuilder()
                .setRenewalRequest(
                        RenewalRequestMessage.newBuilder().setId(id).setLease(lease.value()))
                .build();
    }

    /** Creates the reply to a lease renewal request. */
    public static Envelope renewalReply(long id, RenewalReplyMessage.Outcome outcome) {
        return Envelope.newBuilder()
                .setRenewalReply(RenewalReplyMessage.newBuilder().setId(id).setOutcome(outcome))
                .build();
    }

    /** Returns the daemon process that a message names. */
    public static DaemonRun run(DaemonId daemon, String boot) {
        return new DaemonRun(daemon, new BootId(boot));
    }
}
