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
 * <p>The key is claimed before its request enters the queue. As no other daemon can then have run
 * the request, a refusal by the queue may truthfully be reported as {@code not-run}. Such a refusal
 * releases the claim first, so that the caller's next attempt can run.
 *
 * <p>If the key was claimed before, the caller gets the answer of the run that holds the claim,
 * from this daemon or from the holder. If that answer cannot be obtained, the outcome is {@code
 * unknown}; it is {@code unknown} too if the claim cannot be decided because the platform's service
 * is down. A key that was used before with a different request is refused.
 */
public final class KeyedRequests {
    /** How long a finished run's answer is cached for callers that resubmit its key. */
    static final Duration ANSWER_RETENTION = Duration.ofMinutes(2);

    /** The maximum number of finished runs whose answers are cached. */
    static final int MAX_CACHED_ANSWERS = 1024;

    /** The largest answer body that is cached, in bytes. */
    static final int MAX_CACHED_BODY_BYTES = 16 * 1024;

    private static final Duration MAX_CLAIM_WAIT = Duration.ofSeconds(2);
    private static final Duration CLAIM_RETRY_AFTER = Duration.ofSeconds(1);

    private final DaemonId self;
    private final BootId boot;
    private final Clock clock;
    private final ClaimService claims;
    private final RemoteRuns remote;
    private final Map<ClaimId, KeyedRun> runs = new ConcurrentHashMap<>();
    private final FinishedRunCache finishedRuns = new FinishedRunCache(runs, MAX_CACHED_ANSWERS);

    /** Creates an instance without runs. */
    public KeyedRequests(
            DaemonId self, BootId boot, Clock clock, ClaimService claims, RemoteRuns remote) {
        this.self = self;
        this.boot = boot;
        this.clock = clock;
        this.claims = claims;
        this.remote = remote;
    }

    /**
     * Claims the request's key and starts the request, or attaches the caller to the existing run
     * of the key.
     *
     * @param caller receives the single answer
     * @param start starts the request with the given responder; called only after the claim was
     *     granted
     */
    void submit(KeyedRequest keyed, Responder caller, Consumer<Responder> start) {
        KeyedRun newRun = new KeyedRun(keyed.fingerprint);
        KeyedRun existing = runs.putIfAbsent(keyed.id, newRun);
        if (existing != null) {
            attach(existing, keyed.fingerprint, caller);
            return;
        }
        newRun.attach(caller);
        Claim claim = new Claim(keyed.id, keyed.fingerprint, self, boot);
        long remainingNanos = keyed.request.deadlineNanos() - clock.nanoTime();
        long timeoutNanos = Math.max(1, Math.min(remainingNanos, MAX_CLAIM_WAIT.toNanos()));
        claims.claim(
                claim,
                Duration.ofNanos(timeoutNanos),
                verdict -> onVerdict(verdict, claim, keyed, newRun, start));
    }

    /** Attaches a caller to an existing run of this daemon; never starts one. */
    void attach(ClaimId id, long fingerprint, Responder caller) {
        KeyedRun existing = runs.get(id);
        if (existing == null) {
            caller.refuse(Reason.CLAIM_UNRESOLVED, Optional.empty());
            return;
        }
        attach(existing, fingerprint, caller);
    }

    /**
     * Removes a caller that has disconnected; returns whether no caller waits for the run of the
     * key.
     */
    boolean detach(ClaimId id, Responder caller) {
        KeyedRun existing = runs.get(id);
        return existing == null || existing.detach(caller);
    }

    /** Evicts cached answers whose retention has passed. */
    public void tick() {
        finishedRuns.expire(clock.nanoTime());
    }

    private static void attach(KeyedRun existing, long fingerprint, Responder caller) {
        if (existing.fingerprint() != fingerprint) {
            caller.refuse(Reason.KEY_REUSED, Optional.empty());
            return;
        }
        existing.attach(caller);
    }

    private void onVerdict(
            ClaimVerdict verdict,
            Claim claim,
            KeyedRequest keyed,
            KeyedRun run,
            Consumer<Responder> start) {
        switch (verdict.kind()) {
            case GRANTED -> start.accept(new ClaimedResponder(claim, run));
            case TAKEN -> onTaken(verdict.earlier().orElseThrow(), keyed, run);
            default -> {
                Optional<Duration> retryAfter = Optional.of(CLAIM_RETRY_AFTER);
                removeAndEnd(
                        keyed.id,
                        run,
                        new End(Optional.empty(), Reason.CLAIM_UNAVAILABLE, retryAfter));
            }
        }
    }

    private void onTaken(Claim earlier, KeyedRequest keyed, KeyedRun run) {
        if (earlier.fingerprint() != keyed.fingerprint) {
            removeAndEnd(keyed.id, run, End.of(Reason.KEY_REUSED));
            return;
        }
        if (earlier.holder().equals(self)) {
            removeAndEnd(keyed.id, run, End.of(Reason.CLAIM_UNRESOLVED));
            return;
        }
        remote.attach(
                earlier,
                keyed,
                answer -> {
                    End end = answer.map(End::of).orElse(End.of(Reason.CLAIM_UNRESOLVED));
                    removeAndEnd(keyed.id, run, end);
                });
    }

    private void removeAndEnd(ClaimId id, KeyedRun run, End end) {
        runs.remove(id, run);
        run.end(end);
    }

    /**
     * A request with its key.
     *
     * @param id the claim id, derived from service, customer and key
     * @param fingerprint a hash of method, path and body, to detect that a key is reused for
     *     another request
     * @param request the request
     * @param method its HTTP method
     * @param path its path and query, including the prefix of the service
     */
    record KeyedRequest(
            ClaimId id, long fingerprint, Request request, HttpMethod method, String path) {}

    /** Passes the answer of a run under a claim to all callers that wait for it. */
    private final class ClaimedResponder implements Responder {
        private final Claim claim;
        private final KeyedRun run;

        ClaimedResponder(Claim claim, KeyedRun run) {
            this.claim = claim;
            this.run = run;
        }

        @Override
        public void deliver(Answer answer) {
            if (answer.body().length() <= MAX_CACHED_BODY_BYTES) {
                finishedRuns.add(claim.id(), run, clock.nanoTime() + ANSWER_RETENTION.toNanos());
            } else {
                runs.remove(claim.id(), run);
            }
            run.end(End.of(answer));
        }

        @Override
        public void refuse(Reason reason, Optional<Duration> retryAfter) {
            End end = new End(Optional.empty(), reason, retryAfter);
            if (reason.outcome == Outcome.NOT_RUN) {
                claims.release(claim, () -> removeAndEnd(claim.id(), run, end));
                return;
            }
            removeAndEnd(claim.id(), run, end);
        }
    }
}
