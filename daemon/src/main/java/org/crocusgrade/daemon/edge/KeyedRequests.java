package org.crocusgrade.daemon.edge;

import io.vertx.core.http.HttpMethod;
import java.time.Duration;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;
import org.crocusgrade.core.claim.Claim;
import org.crocusgrade.core.claim.ClaimId;
import org.crocusgrade.core.claim.ClaimVerdict;
import org.crocusgrade.core.dispatch.Outcome;
import org.crocusgrade.core.dispatch.Reason;
import org.crocusgrade.core.dispatch.Request;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.daemon.claim.ClaimService;
import org.crocusgrade.daemon.edge.KeyedRun.End;
import org.crocusgrade.daemon.upstream.Answer;

/**
 * Runs keyed requests that are not idempotent at most once.
 *
 * <p>The key is claimed before its request enters the queue; so whatever the queue then says, this
 * daemon knows that nobody else ran the request, and a refusal may truthfully say {@code not-run}.
 * Such a refusal gives the claim back first, so that the caller's next try can run. A key that was
 * claimed before is answered by the run that holds it, here or at the holder, or {@code unknown};
 * so is a key whose claim cannot be told because the platform's service is down.
 */
public final class KeyedRequests {
    /** How long a finished run's answer is kept for callers that send its key again. */
    static final Duration ANSWER_KEPT = Duration.ofMinutes(2);

    /** The most finished runs whose answers are kept. */
    static final int MAX_KEPT = 1024;

    /** The largest body that is kept, in bytes. */
    static final int MAX_KEPT_BYTES = 16 * 1024;

    private static final Duration MAX_CLAIM_WAIT = Duration.ofSeconds(2);
    private static final Duration COME_BACK = Duration.ofSeconds(1);

    private final DaemonId self;
    private final BootId boot;
    private final Clock clock;
    private final ClaimService claims;
    private final RemoteRuns remote;
    private final Map<ClaimId, KeyedRun> runs = new ConcurrentHashMap<>();
    private final KeptRuns kept = new KeptRuns(runs, MAX_KEPT);

    /** Makes it without any runs. */
    public KeyedRequests(
            DaemonId self, BootId boot, Clock clock, ClaimService claims, RemoteRuns remote) {
        this.self = self;
        this.boot = boot;
        this.clock = clock;
        this.claims = claims;
        this.remote = remote;
    }

    /**
     * Takes a keyed request.
     *
     * @param caller gets the one answer
     * @param start starts the request with the responder that it is given
     */
    void submit(Keyed keyed, Responder caller, Consumer<Responder> start) {
        KeyedRun fresh = new KeyedRun(keyed.fingerprint);
        KeyedRun running = runs.putIfAbsent(keyed.id, fresh);
        if (running != null) {
            attach(running, keyed.fingerprint, caller);
            return;
        }
        fresh.attach(caller);
        Claim claim = new Claim(keyed.id, keyed.fingerprint, self, boot);
        long left = keyed.request.deadlineNanos() - clock.nanoTime();
        long wait = Math.max(1, Math.min(left, MAX_CLAIM_WAIT.toNanos()));
        claims.claim(
                claim,
                Duration.ofNanos(wait),
                verdict -> onVerdict(verdict, claim, keyed, fresh, start));
    }

    /** Attaches a caller to a run of this daemon; never starts one. */
    void attach(ClaimId id, long fingerprint, Responder caller) {
        KeyedRun running = runs.get(id);
        if (running == null) {
            caller.refuse(Reason.CLAIM_UNRESOLVED, Optional.empty());
            return;
        }
        attach(running, fingerprint, caller);
    }

    /** Takes it that a caller left; returns whether nobody waits for the key's run any more. */
    boolean detach(ClaimId id, Responder caller) {
        KeyedRun running = runs.get(id);
        return running == null || running.detach(caller);
    }

    /** Forgets answers that were kept long enough. */
    public void tick() {
        kept.expire(clock.nanoTime());
    }

    private static void attach(KeyedRun running, long fingerprint, Responder caller) {
        if (running.fingerprint() != fingerprint) {
            caller.refuse(Reason.KEY_REUSED, Optional.empty());
            return;
        }
        running.attach(caller);
    }

    private void onVerdict(
            ClaimVerdict verdict,
            Claim claim,
            Keyed keyed,
            KeyedRun run,
            Consumer<Responder> start) {
        switch (verdict.kind()) {
            case GRANTED -> start.accept(new ClaimedResponder(claim, run));
            case TAKEN -> onTaken(verdict.earlier().orElseThrow(), keyed, run);
            default -> {
                Optional<Duration> after = Optional.of(COME_BACK);
                drop(keyed.id, run, new End(Optional.empty(), Reason.CLAIM_UNAVAILABLE, after));
            }
        }
    }

    private void onTaken(Claim earlier, Keyed keyed, KeyedRun run) {
        if (earlier.fingerprint() != keyed.fingerprint) {
            drop(keyed.id, run, End.of(Reason.KEY_REUSED));
            return;
        }
        if (earlier.holder().equals(self)) {
            drop(keyed.id, run, End.of(Reason.CLAIM_UNRESOLVED));
            return;
        }
        remote.attach(
                earlier,
                keyed,
                answer -> {
                    End end = answer.map(End::of).orElse(End.of(Reason.CLAIM_UNRESOLVED));
                    drop(keyed.id, run, end);
                });
    }

    private void drop(ClaimId id, KeyedRun run, End end) {
        runs.remove(id, run);
        run.end(end);
    }

    /**
     * A request with its key.
     *
     * @param id the key
     * @param fingerprint the request, to tell reuse of the key
     * @param request the request
     * @param method its HTTP method
     * @param path its path with the service's prefix
     */
    record Keyed(ClaimId id, long fingerprint, Request request, HttpMethod method, String path) {}

    /** Takes the answer of a run under a claim to all that wait for it. */
    private final class ClaimedResponder implements Responder {
        private final Claim claim;
        private final KeyedRun run;

        ClaimedResponder(Claim claim, KeyedRun run) {
            this.claim = claim;
            this.run = run;
        }

        @Override
        public void deliver(Answer answer) {
            if (answer.body().length() <= MAX_KEPT_BYTES) {
                kept.add(claim.id(), run, clock.nanoTime() + ANSWER_KEPT.toNanos());
            } else {
                runs.remove(claim.id(), run);
            }
            run.end(End.of(answer));
        }

        @Override
        public void refuse(Reason reason, Optional<Duration> retryAfter) {
            End end = new End(Optional.empty(), reason, retryAfter);
            if (reason.outcome == Outcome.NOT_RUN) {
                claims.release(claim, () -> drop(claim.id(), run, end));
                return;
            }
            drop(claim.id(), run, end);
        }
    }
}
