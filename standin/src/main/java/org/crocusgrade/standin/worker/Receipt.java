package org.crocusgrade.standin.worker;

import io.vertx.core.json.JsonObject;
import java.time.Instant;
import java.util.Locale;
import java.util.Objects;

/**
 * A stand-in worker's record of one request that it received.
 *
 * @param worker the worker's id
 * @param request the request id assigned by the daemon
 * @param nonce the identifier that the caller chose for the request, or empty
 * @param key the idempotency key, or empty
 * @param service the service that the request was sent for
 * @param pool the pool that the daemon assumed the worker to be in
 * @param method the HTTP method
 * @param start when the request arrived
 * @param end when the request ended or was refused; while it runs, when this record was made
 * @param ending how the request ended
 */
public record Receipt(
        String worker,
        String request,
        String nonce,
        String key,
        String service,
        String pool,
        String method,
        Instant start,
        Instant end,
        Ending ending) {
    /** How a request ended at the worker. */
    public enum Ending {
        /** The request is still running. */
        RUNNING,
        /** The request ran for its time and its complete answer was written. */
        COMPLETED,
        /** The request ran, and an injected fault altered or truncated its answer. */
        FAULTED,
        /** The request ran, but the daemon's connection was closed before the answer was sent. */
        CONNECTION_LOST,
        /** The request was cancelled while it ran. */
        CANCELLED,
        /** The worker went down while the request ran. */
        CUT,
        /** The request was not started because no slot was free. */
        REFUSED_SLOTS,
        /** The request was not started because the worker had too many connections. */
        REFUSED_CONNECTIONS,
        /** The request was not started because the worker was leaving. */
        REFUSED_LEAVING;

        /** Returns whether a request with this ending was started. */
        public boolean started() {
            return this != REFUSED_SLOTS && this != REFUSED_CONNECTIONS && this != REFUSED_LEAVING;
        }
    }

    /** Checks the fields. */
    public Receipt {
        Objects.requireNonNull(worker);
        Objects.requireNonNull(request);
        Objects.requireNonNull(nonce);
        Objects.requireNonNull(key);
        Objects.requireNonNull(service);
        Objects.requireNonNull(pool);
        Objects.requireNonNull(method);
        Objects.requireNonNull(start);
        Objects.requireNonNull(end);
        Objects.requireNonNull(ending);
    }

    /** Returns a copy of this receipt with another end time and ending. */
    public Receipt withEnd(Instant newEnd, Ending newEnding) {
        return new Receipt(
                worker, request, nonce, key, service, pool, method, start, newEnd, newEnding);
    }

    /** Returns this receipt as JSON for the control endpoint. */
    public JsonObject toJson() {
        return new JsonObject()
                .put("worker", worker)
                .put("request", request)
                .put("nonce", nonce)
                .put("key", key)
                .put("service", service)
                .put("pool", pool)
                .put("method", method)
                .put("start", start.toString())
                .put("end", end.toString())
                .put("ending", ending.name().toLowerCase(Locale.ROOT));
    }

    /** Reads a receipt from the control endpoint's JSON. */
    public static Receipt fromJson(JsonObject json) {
        return new Receipt(
                json.getString("worker"),
                json.getString("request"),
                json.getString("nonce"),
                json.getString("key"),
                json.getString("service"),
                json.getString("pool"),
                json.getString("method"),
                Instant.parse(json.getString("start")),
                Instant.parse(json.getString("end")),
                Ending.valueOf(json.getString("ending").toUpperCase(Locale.ROOT)));
    }
}
