package org.crocusgrade.daemon.link;

import org.crocusgrade.core.claim.Claim;
import org.crocusgrade.core.claim.ClaimId;
import org.crocusgrade.core.claim.ClaimVerdict;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.peer.proto.ClaimReplyMessage;
import org.crocusgrade.peer.proto.ClaimReplyMessage.Verdict;
import org.crocusgrade.peer.proto.ClaimRequestMessage;
import org.crocusgrade.peer.proto.Envelope;

/**
 * Converts claims to peer messages and back. The reply for a claim that is already taken carries
 * the earlier claim's holder and fingerprint, but not its id: that equals the requested id, which
 * the requesting daemon has.
 */
public final class ClaimMessages {
    private static final ClaimId NO_ID = new ClaimId(0, 0);

    private ClaimMessages() {}

    /** Writes the request to take or release a claim. */
    public static Envelope request(long id, Claim claim, boolean release) {
        ClaimRequestMessage.Builder message =
                ClaimRequestMessage.newBuilder()
                        .setId(id)
                        .setHigh(claim.id().high())
                        .setLow(claim.id().low())
                        .setFingerprint(claim.fingerprint())
                        .setRelease(release);
        return Envelope.newBuilder().setClaimRequest(message).build();
    }

    /** Reads a claim request; the claim's holder is the sender. */
    public static Claim read(DaemonId from, BootId boot, ClaimRequestMessage message) {
        ClaimId id = new ClaimId(message.getHigh(), message.getLow());
        return new Claim(id, message.getFingerprint(), from, boot);
    }

    /** Writes the reply to a claim request. */
    public static Envelope reply(long id, ClaimVerdict verdict) {
        ClaimReplyMessage.Builder message =
                ClaimReplyMessage.newBuilder().setId(id).setVerdict(verdictOf(verdict.kind()));
        verdict.earlier()
                .ifPresent(
                        earlier ->
                                message.setHolder(earlier.holder().value())
                                        .setHolderBoot(earlier.holderBoot().value())
                                        .setFingerprint(earlier.fingerprint()));
        return Envelope.newBuilder().setClaimReply(message).build();
    }

    /** Reads a reply; an unknown verdict counts as unavailable. */
    public static ClaimVerdict read(ClaimReplyMessage message) {
        return switch (message.getVerdict()) {
            case GRANTED -> ClaimVerdict.GRANTED;
            case TAKEN ->
                    ClaimVerdict.taken(
                            new Claim(
                                    NO_ID,
                                    message.getFingerprint(),
                                    new DaemonId(message.getHolder()),
                                    new BootId(message.getHolderBoot())));
            default -> ClaimVerdict.UNAVAILABLE;
        };
    }

    private static Verdict verdictOf(ClaimVerdict.Kind kind) {
        return switch (kind) {
            case GRANTED -> Verdict.GRANTED;
            case TAKEN -> Verdict.TAKEN;
            default -> Verdict.UNAVAILABLE;
        };
    }
}
