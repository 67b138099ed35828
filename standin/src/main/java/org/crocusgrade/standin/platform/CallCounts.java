package org.crocusgrade.standin.platform;

import io.vertx.core.json.JsonObject;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;

/** Counts the calls to the stand-in key-value service in the way the platform would bill them. */
public final class CallCounts {
    /** A kind of call. */
    public enum Kind {
        /** A read of one entry. */
        GET,
        /** A read of all entries under a prefix. */
        LIST,
        /** A compare-and-swap. */
        WRITE,
        /** A delete. */
        DELETE,
        /** A watch, counted when it arrives. */
        WATCH,
        /** A grant, renewal or revocation of a lease. */
        LEASE
    }

    private final Map<Kind, LongAdder> calls = new EnumMap<>(Kind.class);
    private final AtomicInteger waiting = new AtomicInteger();

    /** Creates counts that are all 0. */
    public CallCounts() {
        for (Kind kind : Kind.values()) {
            calls.put(kind, new LongAdder());
        }
    }

    /** Counts a call. */
    public void count(Kind kind) {
        calls.get(kind).increment();
    }

    /** Adds 1 to the number of watches that wait. */
    public void startWaiting() {
        waiting.incrementAndGet();
    }

    /** Subtracts 1 from the number of watches that wait. */
    public void stopWaiting() {
        waiting.decrementAndGet();
    }

    /** Returns the number of calls of a kind so far. */
    public long of(Kind kind) {
        return calls.get(kind).sum();
    }

    /** Returns the number of writes so far: compare-and-swaps, deletes and lease calls. */
    public long writes() {
        return of(Kind.WRITE) + of(Kind.DELETE) + of(Kind.LEASE);
    }

    /** Returns the number of reads so far: gets, lists and watches. */
    public long reads() {
        return of(Kind.GET) + of(Kind.LIST) + of(Kind.WATCH);
    }

    /** Returns the number of watches that wait now. */
    public int waiting() {
        return waiting.get();
    }

    /** Returns the counts by kind and the watches that wait now, for the control endpoint. */
    public JsonObject toJson() {
        JsonObject json = new JsonObject();
        calls.forEach((kind, count) -> json.put(kind.name().toLowerCase(), count.sum()));
        return json.put("waiting", waiting());
    }
}
