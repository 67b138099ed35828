package org.crocusgrade.standin.worker;

import io.vertx.core.json.JsonObject;
import java.time.Instant;
import java.util.Locale;
import java.util.Objects;

/**
 * What a worker itself saw of one request.
 *
 * @param worker the worker
 * @param request the request's id as the daemon gave it
 * @param nonce the caller's own name of the request, or empty
 * @param key the idempotency key, or empty
 * @param service the service that it was sent for
 * @param pool the pool that the daemon believed the worker to be in
 * @param method the HTTP method
 * @param start when it arrived
 * @param end when it ended, or was refused
 * @param ending how it ended
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
        /** It still runs. */
        RUNNING,
        /** It ran and its whole answer was written. */
        COMPLETED,
        /** It ran and its answer was not what the worker meant to send, by a fault set. */
        FAULTED,
        /** It ran, and the connection of the daemon was gone before the answer. */
        CONNECTION_LOST,
        /** It was cancelled while it ran. */
        CANCELLED,
        /** The worker went down while it ran. */
        CUT,
        /** It never started: no slot was free. */
        REFUSED_SLOTS,
        /** It never started: there were too many connections. */
        REFUSED_CONNECTIONS,
        /** It never started: the worker was leaving. */
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

    /** Returns this receipt with its end. */
    public Receipt ended(Instant at, Ending how) {
        return new Receipt(worker, request, nonce, key, service, pool, method, start, at, how);
    }

    /** Returns the JSON of the control endpoint. */
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
