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
 * A caller's record of one call, that is of one attempt to send a request to a daemon.
 *
 * @param nonce the caller's identifier of the request; the same for each resubmission
 * @param service the service called
 * @param target the daemon called
 * @param idempotent whether the request may run twice
 * @param work how long the request was to run on the worker
 * @param sent when the call was sent
 * @param ended when the answer was received, or the call failed or was abandoned
 * @param status the HTTP status of the answer, or 0 without an answer
 * @param outcome the outcome that the answer reported, if any
 * @param reason the reason code of the answer, empty if it has none; without an answer, one of the
 *     constants of this class
 * @param complete whether the body was the complete answer to this request
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
        boolean complete) {
    /** The reason of a call without a connection: it was refused, or no daemon was available. */
    public static final String NOT_CONNECTED = "not-connected";

    /** The reason of any other call that ended without an answer. */
    public static final String NO_ANSWER = "no-answer";

    /** The reason of a call that its caller abandoned before the service's timeout. */
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

    /** Returns the time from the sending of the call to its end. */
    public Duration elapsed() {
        return Duration.between(sent, ended);
    }

    /** Returns the time that the call took in addition to its run time, at least 0. */
    public Duration waitTime() {
        Duration overhead = elapsed().minus(work);
        return overhead.isNegative() ? Duration.ZERO : overhead;
    }

    /** Returns whether the answer reported this outcome. */
    public boolean hasOutcome(Outcome expected) {
        return outcome.isPresent() && outcome.get() == expected;
    }

    /** Reads a call from its JSON object. */
    public static CallRecord fromJson(JsonObject json) {
        String word = json.getString("outcome");
        Optional<Outcome> outcome =
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
                outcome,
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
                .put("whole", complete);
    }
}
