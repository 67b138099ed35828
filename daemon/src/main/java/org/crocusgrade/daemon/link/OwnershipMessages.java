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

/** Makes the messages of ownership: promises, fences, renewals for others. */
public final class OwnershipMessages {
    private OwnershipMessages() {}

    /** Makes an owner's request for a promise. */
    public static Envelope promiseRequest(DaemonRun owner, long term, long asked) {
        return Envelope.newBuilder()
                .setPromiseRequest(
                        PromiseRequestMessage.newBuilder()
                                .setRun(owner.boot().value())
                                .setTerm(term)
                                .setAsked(asked))
                .build();
    }

    /** Makes a witness's answer to an owner. */
    public static Envelope promiseReply(PromiseRequestMessage request, boolean given) {
        return Envelope.newBuilder()
                .setPromiseReply(
                        PromiseReplyMessage.newBuilder()
                                .setRun(request.getRun())
                                .setTerm(request.getTerm())
                                .setAsked(request.getAsked())
                                .setGiven(given))
                .build();
    }

    /** Makes a request for a fence. */
    public static Envelope fenceRequest(DaemonRun owner, long term) {
        return Envelope.newBuilder()
                .setFenceRequest(
                        FenceRequestMessage.newBuilder()
                                .setOwner(owner.daemon().value())
                                .setRun(owner.boot().value())
                                .setTerm(term))
                .build();
    }

    /** Makes a witness's answer to a request for a fence. */
    public static Envelope fenceReply(FenceRequestMessage request, boolean given) {
        return Envelope.newBuilder()
                .setFenceReply(
                        FenceReplyMessage.newBuilder()
                                .setOwner(request.getOwner())
                                .setRun(request.getRun())
                                .setTerm(request.getTerm())
                                .setGiven(given))
                .build();
    }

    /** Makes a request to renew a lease. */
    public static Envelope renewalRequest(long id, LeaseId lease) {
        return Envelope.newBuilder()
                .setRenewalRequest(
                        RenewalRequestMessage.newBuilder().setId(id).setLease(lease.value()))
                .build();
    }

    /** Makes the answer to a request to renew a lease. */
    public static Envelope renewalReply(long id, RenewalReplyMessage.Outcome outcome) {
        return Envelope.newBuilder()
                .setRenewalReply(RenewalReplyMessage.newBuilder().setId(id).setOutcome(outcome))
                .build();
    }

    /** Returns the run that a message names. */
    public static DaemonRun run(DaemonId daemon, String boot) {
        return new DaemonRun(daemon, new BootId(boot));
    }
}
