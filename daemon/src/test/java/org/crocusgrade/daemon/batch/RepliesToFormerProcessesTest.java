package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.TreeMap;
import org.crocusgrade.core.claim.Claim;
import org.crocusgrade.core.claim.ClaimId;
import org.crocusgrade.core.claim.ClaimVerdict;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.QueueId;
import org.crocusgrade.core.id.Region;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.member.MemberRecord;
import org.crocusgrade.core.port.LeaseId;
import org.crocusgrade.core.port.StoreException;
import org.crocusgrade.core.submission.StepId;
import org.crocusgrade.core.submission.SubmissionId;
import org.crocusgrade.daemon.batch.SubmissionReply.Outcome;
import org.crocusgrade.daemon.claim.ClaimRouter;
import org.crocusgrade.daemon.control.FleetSnapshot;
import org.crocusgrade.daemon.link.CallIds;
import org.crocusgrade.daemon.link.ClaimMessages;
import org.crocusgrade.daemon.link.OwnershipMessages;
import org.crocusgrade.daemon.link.PendingCalls;
import org.crocusgrade.daemon.owner.LeaseRelay;
import org.crocusgrade.peer.proto.AdviceCallMessage;
import org.crocusgrade.peer.proto.AdviceReplyMessage;
import org.crocusgrade.peer.proto.Envelope;
import org.crocusgrade.peer.proto.RenewalReplyMessage;
import org.crocusgrade.peer.proto.SubmissionCallMessage;
import org.crocusgrade.peer.proto.SubmissionReplyMessage;
import org.crocusgrade.peer.proto.TicketMessage;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Guards against replies that complete a call of another process: in generated orders of calls,
 * pauses of the called daemons and restarts of the calling one, each call has its own answer or
 * none. The called daemons know only what all versions know: they return the id of the call. Some
 * of the calling processes are of a version that numbers its calls from 1.
 */
class RepliesToFormerProcessesTest {
    private static final DaemonId CALLER = new DaemonId("caller");
    private static final List<DaemonId> CALLED =
            List.of(new DaemonId("x"), new DaemonId("y"), new DaemonId("z"));
    private static final Duration TIMEOUT = Duration.ofSeconds(2);
    private static final int DAYS = 60;
    private static final int STEPS = 200;

    private final SimTime time = new SimTime();
    private final Map<DaemonId, SimLoop> called = new TreeMap<>();
    private final List<String> wrong = new ArrayList<>();
    private Process process;
    private int processes;
    private int answered;
    private boolean delivers = true;

    /** The kinds of calls, each with its requests, its answers and its table of calls. */
    private enum Kind {
        SUBMISSION,
        ADVICE,
        CLAIM,
        RENEWAL
    }

    /** A process of the calling daemon. */
    private interface Process {
        void call(Kind kind, DaemonId to, int key);

        void receive(DaemonId from, Envelope reply);

        void kill();
    }

    @ParameterizedTest
    @EnumSource(Kind.class)
    void noCallHasTheAnswerToAnother(Kind kind) {
        for (int day = 1; day <= DAYS; day++) {
            play(kind, new Random(day));
            assertThat(kind + ", day " + day, wrong, empty());
        }
        assertThat("calls with an answer", answered, greaterThan(DAYS));
    }

    private void play(Kind kind, Random random) {
        CALLED.forEach(d -> called.put(d, new SimLoop(time)));
        process = new CurrentProcess();
        for (int step = 0; step < STEPS; step++) {
            DaemonId to = CALLED.get(random.nextInt(CALLED.size()));
            switch (random.nextInt(10)) {
                case 0 -> called.get(to).freeze(random.nextInt(3000));
                case 1 -> {
                    process.kill();
                    time.run(random.nextInt(100));
                    process = random.nextInt(3) == 0 ? new OlderProcess() : new CurrentProcess();
                }
                case 2, 3 -> time.run(random.nextInt(500));
                default -> process.call(kind, to, random.nextInt(1000));
            }
        }
        time.run(10_000);
    }

    /** Guards against a link that is taken for sound, since a probe of the former process is. */
    @Test
    void answerToAProbeOfTheFormerProcessIsNotTakenForOneToThis() {
        DaemonId to = CALLED.get(0);
        called.put(to, new SimLoop(time));
        called.get(to).freeze(1000);
        CurrentProcess former = new CurrentProcess();
        former.call(Kind.SUBMISSION, to, 1);
        former.peers.tick();
        time.run(100);
        former.kill();
        CurrentProcess current = new CurrentProcess();
        process = current;
        delivers = false;
        current.call(Kind.SUBMISSION, to, 1);
        current.peers.tick();
        time.run(1500);
        current.peers.tick();
        assertThat(current.peers.isReachable(to), is(false));
    }

    private void send(DaemonId to, Envelope request) {
        if (!delivers) {
            return;
        }
        time.afterMillis(1, () -> called.get(to).execute(() -> reply(to, answer(request))));
    }

    private void reply(DaemonId from, Envelope reply) {
        time.afterMillis(1, () -> process.receive(from, reply));
    }

    /** Answers a request, as a daemon of any version does. */
    private static Envelope answer(Envelope request) {
        Envelope.Builder reply = Envelope.newBuilder();
        return switch (request.getBodyCase()) {
            case SUBMISSION_CALL ->
                    reply.setSubmissionReply(
                                    SubmissionReplyMessage.newBuilder()
                                            .setCall(request.getSubmissionCall().getCall())
                                            .setReason(request.getSubmissionCall().getQueue()))
                            .build();
            case ADVICE_CALL ->
                    reply.setAdviceReply(
                                    AdviceReplyMessage.newBuilder()
                                            .setCall(request.getAdviceCall().getCall())
                                            .setAnswered(true)
                                            .addTickets(
                                                    TicketMessage.newBuilder()
                                                            .setWorker(
                                                                    request.getAdviceCall()
                                                                            .getWorkers(0))
                                                            .setTicket("ticket")))
                            .build();
            case CLAIM_REQUEST ->
                    ClaimMessages.reply(
                            request.getClaimRequest().getId(),
                            isGranted(request.getClaimRequest().getHigh())
                                    ? ClaimVerdict.GRANTED
                                    : ClaimVerdict.taken(claim(0)));
            case RENEWAL_REQUEST ->
                    OwnershipMessages.renewalReply(
                            request.getRenewalRequest().getId(),
                            isGranted(request.getRenewalRequest().getLease())
                                    ? RenewalReplyMessage.Outcome.RENEWED
                                    : RenewalReplyMessage.Outcome.LOST);
            case LINK_PROBE ->
                    reply.setLinkProbe(request.getLinkProbe().toBuilder().setAnswer(true)).build();
            default -> throw new IllegalArgumentException("unexpected " + request.getBodyCase());
        };
    }

    private static boolean isGranted(long key) {
        return key % 2 == 0;
    }

    private static Claim claim(int key) {
        return new Claim(new ClaimId(key, 0), 0, CALLER, new BootId("any"));
    }

    private static String name(int key) {
        return "k" + key;
    }

    /** Makes the requests of a version that numbers its calls from 1. */
    private final class OlderProcess implements Process {
        private long last;

        @Override
        public void call(Kind kind, DaemonId to, int key) {
            last++;
            switch (kind) {
                case SUBMISSION ->
                        send(
                                to,
                                Envelope.newBuilder()
                                        .setSubmissionCall(
                                                SubmissionCallMessage.newBuilder()
                                                        .setCall(last)
                                                        .setQueue(name(key)))
                                        .build());
                case ADVICE ->
                        send(
                                to,
                                Envelope.newBuilder()
                                        .setAdviceCall(
                                                AdviceCallMessage.newBuilder()
                                                        .setCall(last)
                                                        .addWorkers(name(key)))
                                        .build());
                case CLAIM -> send(to, ClaimMessages.request(last, claim(key), false));
                case RENEWAL -> {
                    Envelope request = OwnershipMessages.renewalRequest(last, new LeaseId(key));
                    CALLED.forEach(d -> send(d, request));
                }
            }
        }

        @Override
        public void receive(DaemonId from, Envelope reply) {
            // What an older version makes of a reply is not tested here.
        }

        @Override
        public void kill() {
            // It has no timers.
        }
    }

    /** A process with the components that call other daemons. */
    private final class CurrentProcess implements Process {
        private final BootId boot = new BootId("boot" + ++processes);
        private final CallIds ids = new CallIds(boot);
        private DaemonId claimWriter = CALLED.get(0);
        private final BatchRuntime runtime =
                SimRuntime.create(time, new SimStore(time, new Random(1)).client(), new NoHosts());
        private final PeerRpc peers = new PeerRpc(runtime, boot, null, listener -> new Wire());
        private final ClaimRouter claims =
                new ClaimRouter(
                        CALLER,
                        boot,
                        pendingCalls(),
                        null,
                        time,
                        runtime.loop(),
                        () -> Set.of(claimWriter),
                        RepliesToFormerProcessesTest.this::send);
        private final LeaseRelay relay =
                new LeaseRelay(
                        CALLER,
                        null,
                        RepliesToFormerProcessesTest::fleet,
                        pendingCalls(),
                        RepliesToFormerProcessesTest.this::send);

        private <R> PendingCalls<R> pendingCalls() {
            return new PendingCalls<>(
                    "test", ids, (d, step) -> runtime.after(d.toMillis(), step), runtime.log());
        }

        @Override
        public void call(Kind kind, DaemonId to, int key) {
            switch (kind) {
                case SUBMISSION ->
                        peers.call(
                                to,
                                submissionCall(key),
                                TIMEOUT,
                                r ->
                                        check(
                                                r.outcome() == Outcome.NO_ANSWER,
                                                name(key),
                                                r.reason()));
                case ADVICE ->
                        peers.requestAdvice(
                                to,
                                new StepId(new SubmissionId("00000000000000aa"), 0, 0),
                                List.of(new WorkerId(name(key))),
                                TIMEOUT,
                                a ->
                                        check(
                                                a.isEmpty(),
                                                Set.of(new WorkerId(name(key))),
                                                a.map(t -> t.tickets().keySet()).orElse(null)));
                case CLAIM -> {
                    claimWriter = to;
                    claims.claim(claim(key), TIMEOUT, v -> checkVerdict(key, v.kind()));
                }
                case RENEWAL ->
                        relay.renew(new LeaseId(key))
                                .subscribe()
                                .with(
                                        renewed -> check(false, isGranted(key), true),
                                        f -> checkFailure(key, (StoreException) f));
            }
        }

        private void checkVerdict(int key, ClaimVerdict.Kind verdict) {
            boolean granted = verdict == ClaimVerdict.Kind.GRANTED;
            check(verdict == ClaimVerdict.Kind.UNAVAILABLE, isGranted(key), granted);
        }

        private void checkFailure(int key, StoreException failure) {
            boolean unreached = failure.kind() == StoreException.Kind.UNREACHED;
            check(unreached, isGranted(key), false);
        }

        private void check(boolean isUnanswered, Object expected, Object answer) {
            if (isUnanswered) {
                return;
            }
            answered++;
            if (!expected.equals(answer)) {
                wrong.add(time.millis() + " ms: " + answer + " instead of " + expected);
            }
        }

        @Override
        public void receive(DaemonId from, Envelope reply) {
            runtime.loop().execute(() -> dispatch(from, reply));
        }

        private void dispatch(DaemonId from, Envelope reply) {
            switch (reply.getBodyCase()) {
                case CLAIM_REPLY -> claims.onReply(from, reply.getClaimReply());
                case RENEWAL_REPLY -> relay.onReply(from, reply.getRenewalReply());
                default -> peers.onMessage(from, new BootId("any"), reply);
            }
        }

        @Override
        public void kill() {
            runtime.loop().shutdownNow();
        }
    }

    private static SubmissionCall submissionCall(int key) {
        return new SubmissionCall(
                SimFleet.SERVICE,
                SubmissionCall.Operation.STATE,
                new QueueId(name(key)),
                Optional.empty(),
                Optional.empty(),
                new byte[0],
                1);
    }

    private static FleetSnapshot fleet() {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 7000);
        Map<DaemonId, MemberRecord> members = new HashMap<>();
        for (DaemonId each : CALLED) {
            members.put(
                    each,
                    new MemberRecord(
                            each,
                            new BootId("any"),
                            new Region("region"),
                            new AvailabilityZone("zone"),
                            address,
                            address,
                            address));
        }
        return new FleetSnapshot(Map.of(), Map.of(), members);
    }

    /** Sends the messages of one process. */
    private final class Wire extends SimLink {
        @Override
        public void send(DaemonId to, Envelope message) {
            RepliesToFormerProcessesTest.this.send(to, message);
        }
    }
}
