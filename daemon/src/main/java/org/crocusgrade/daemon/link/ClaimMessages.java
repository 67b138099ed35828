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
 * Turns claims into frames' messages and back. A verdict on a taken key carries the earlier claim's
 * holder and fingerprint; its id is the asked one's, which the asker knows.
 */
public final class ClaimMessages {
    private static final ClaimId ASKED = new ClaimId(0, 0);

    private ClaimMessages() {}

    /** Writes a wish, or a release. */
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

    /** Reads a wish; its holder is the sender. */
    public static Claim read(DaemonId from, BootId boot, ClaimRequestMessage message) {
        ClaimId id = new ClaimId(message.getHigh(), message.getLow());
        return new Claim(id, message.getFingerprint(), from, boot);
    }

    /** Writes a verdict. */
    public static Envelope reply(long id, ClaimVerdict verdict) {
        ClaimReplyMessage.Builder message =
                ClaimReplyMessage.newBuilder().setId(id).setVerdict(word(verdict.kind()));
        verdict.earlier()
                .ifPresent(
                        earlier ->
                                message.setHolder(earlier.holder().value())
                                        .setHolderBoot(earlier.holderBoot().value())
                                        .setFingerprint(earlier.fingerprint()));
        return Envelope.newBuilder().setClaimReply(message).build();
    }

    /** Reads a verdict; an unknown one counts as unavailable. */
    public static ClaimVerdict read(ClaimReplyMessage message) {
        return switch (message.getVerdict()) {
            case GRANTED -> ClaimVerdict.GRANTED;
            case TAKEN ->
                    ClaimVerdict.taken(
                            new Claim(
                                    ASKED,
                                    message.getFingerprint(),
                                    new DaemonId(message.getHolder()),
                                    new BootId(message.getHolderBoot())));
            default -> ClaimVerdict.UNAVAILABLE;
        };
    }

    private static Verdict word(ClaimVerdict.Kind kind) {
        return switch (kind) {
            case GRANTED -> Verdict.GRANTED;
            case TAKEN -> Verdict.TAKEN;
            default -> Verdict.UNAVAILABLE;
        };
    }
}
