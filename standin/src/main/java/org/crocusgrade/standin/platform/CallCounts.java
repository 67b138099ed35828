package org.crocusgrade.standin.platform;

import io.vertx.core.json.JsonObject;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/** Counts the calls on the stand-in key-value service as the platform would bill them. */
public final class CallCounts {
    /** A kind of call. */
    public enum Kind {
        /** One entry read. */
        GET,
        /** Entries read by prefix. */
        LIST,
        /** A compare-and-swap. */
        WRITE,
        /** A delete. */
        DELETE,
        /** A watch, counted when it starts to wait. */
        WATCH,
        /** A lease granted, renewed or revoked. */
        LEASE
    }

    private final Map<Kind, LongAdder> calls = new EnumMap<>(Kind.class);
    private final AtomicInteger waiting = new AtomicInteger();

    /** Makes counts of 0. */
    public CallCounts() {
        for (Kind kind : Kind.values()) {
            calls.put(kind, new LongAdder());
        }
    }

    /** Counts a call. */
    public void count(Kind kind) {
        calls.get(kind).increment();
    }

    /** Counts a watch that starts to wait. */
    public void startWaiting() {
        waiting.incrementAndGet();
    }

    /** Counts a watch that has ended. */
    public void stopWaiting() {
        waiting.decrementAndGet();
    }

    /** Returns the calls of a kind so far. */
    public long of(Kind kind) {
        return calls.get(kind).sum();
    }

    /** Returns the writes so far: compare-and-swaps, deletes and calls on leases. */
    public long writes() {
        return of(Kind.WRITE) + of(Kind.DELETE) + of(Kind.LEASE);
    }

    /** Returns the reads so far: gets, lists and watches. */
    public long reads() {
        return of(Kind.GET) + of(Kind.LIST) + of(Kind.WATCH);
    }

    /** Returns the watches that wait now. */
    public int waiting() {
        return waiting.get();
    }

    /** Returns the counts by kind, for the control endpoint. */
    public JsonObject toJson() {
        JsonObject json = new JsonObject();
        calls.forEach((kind, count) -> json.put(kind.name().toLowerCase(), count.sum()));
        return json.put("waiting", waiting());
    }
}
