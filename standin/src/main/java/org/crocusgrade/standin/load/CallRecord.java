package org.crocusgrade.standin.load;

import io.vertx.core.json.JsonObject;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Arrays;
import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.dispatch.Outcome;
import org.crocusgrade.core.id.ServiceId;

/**
 * One call as its caller saw it.
 *
 * @param nonce the caller's own name of the request; the same for each resubmission
 * @param service the service called
 * @param target the daemon called
 * @param idempotent whether the request may run twice
 * @param work how long the request was to run at the worker
 * @param sent when it was sent
 * @param ended when its answer was whole, or the caller stopped waiting
 * @param status the status of the answer, or 0 without one
 * @param outcome what the caller was told, if it was told anything
 * @param reason the reason code, or what went wrong on the way
 * @param whole whether the body was the whole answer to this very request
 */
public record CallRecord(
        String nonce,
        ServiceId service,
        InetSocketAddress target,
        boolean idempotent,
        Duration work,
        Instant sent,
        Instant ended,
        int status,
        Optional<Outcome> outcome,
        String reason,
        boolean whole) {
    /** The reason of a call that the daemon's host refused to connect. */
    public static final String NOT_CONNECTED = "not-connected";

    /** The reason of a call that ended without an answer. */
    public static final String NO_ANSWER = "no-answer";

    /** The reason of a call that its caller gave up. */
    public static final String GIVEN_UP = "given-up";

    /** Checks the fields. */
    public CallRecord {
        Objects.requireNonNull(nonce);
        Objects.requireNonNull(service);
        Objects.requireNonNull(target);
        Objects.requireNonNull(work);
        Objects.requireNonNull(sent);
        Objects.requireNonNull(ended);
        Objects.requireNonNull(outcome);
        Objects.requireNonNull(reason);
    }

    /** Returns how long the caller waited. */
    public Duration took() {
        return Duration.between(sent, ended);
    }

    /** Returns how long the call took beyond the run itself. */
    public Duration waited() {
        Duration wait = took().minus(work);
        return wait.isNegative() ? Duration.ZERO : wait;
    }

    /** Returns whether the caller was told this. */
    public boolean was(Outcome told) {
        return outcome.isPresent() && outcome.get() == told;
    }

    /** Reads a call from its JSON object. */
    public static CallRecord fromJson(JsonObject json) {
        String word = json.getString("outcome");
        Optional<Outcome> told =
                Arrays.stream(Outcome.values()).filter(o -> o.word.equals(word)).findFirst();
        return new CallRecord(
                json.getString("nonce"),
                new ServiceId(json.getString("service")),
                new InetSocketAddress(json.getString("ip"), json.getInteger("port")),
                json.getBoolean("idempotent"),
                Duration.ofMillis(json.getLong("workMs")),
                Instant.parse(json.getString("sent")),
                Instant.parse(json.getString("ended")),
                json.getInteger("status"),
                told,
                json.getString("reason"),
                json.getBoolean("whole"));
    }

    /** Returns this call as a JSON object. */
    public JsonObject toJson() {
        return new JsonObject()
                .put("nonce", nonce)
                .put("service", service.value())
                .put("ip", target.getAddress().getHostAddress())
                .put("port", target.getPort())
                .put("idempotent", idempotent)
                .put("workMs", work.toMillis())
                .put("sent", sent.toString())
                .put("ended", ended.toString())
                .put("status", status)
                .put("outcome", outcome.map(o -> o.word).orElse(""))
                .put("reason", reason)
                .put("whole", whole);
    }
}
