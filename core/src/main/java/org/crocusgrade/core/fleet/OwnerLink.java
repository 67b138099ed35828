package org.crocusgrade.core.fleet;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.PoolId;

/** What a borrower knows of its exchange with one owner. */
final class OwnerLink {
    /** The owner's run before any answer. */
    static final BootId NO_BOOT = new BootId("none");

    /** How many statements are remembered that an answer may refer to. */
    private static final int REMEMBERED = 256;

    private final DaemonId owner;
    private final Map<Long, Long> sent = new LinkedHashMap<>();
    private final Map<PoolId, Integer> free = new HashMap<>();
    private BootId ownerBoot = NO_BOOT;
    private long lastAnswer;
    private long sentNanos;
    private long askGapNanos;
    private Map<PoolId, Integer> sentAsks = Map.of();
    private boolean confirm;
    private boolean sentEmpty = true;

    OwnerLink(DaemonId owner) {
        this.owner = owner;
    }

    DaemonId owner() {
        return owner;
    }

    BootId ownerBoot() {
        return ownerBoot;
    }

    long lastAnswer() {
        return lastAnswer;
    }

    int free(PoolId pool) {
        return free.getOrDefault(pool, 0);
    }

    /** Returns whether a message is new and refers to a remembered statement, and notes it. */
    boolean accept(SlotGrant grant) {
        if (!sent.containsKey(grant.replyTo())) {
            return false;
        }
        boolean sameRun = grant.boot().equals(ownerBoot);
        if (sameRun && grant.answer() <= lastAnswer) {
            return false;
        }
        ownerBoot = grant.boot();
        lastAnswer = grant.answer();
        free.clear();
        for (SlotGrant.PoolShare each : grant.pools()) {
            free.put(each.pool(), each.free());
        }
        if (!sameRun || !grant.renews()) {
            confirm = true;
        }
        return true;
    }

    long sentNanos(long replyTo) {
        return sent.get(replyTo);
    }

    /** Makes a statement due because slots were given back that others need. */
    void hurry() {
        confirm = true;
    }

    /**
     * Returns whether a statement is due: the owner waits for it, demand has grown, or the renewal
     * time has come. While demand keeps growing, the time between two statements doubles.
     */
    boolean isDue(Map<PoolId, Integer> asks, boolean isEmpty, SlotLeaseTiming times, long now) {
        if (sent.isEmpty()) {
            return true;
        }
        long since = now - sentNanos;
        if (since < times.minGap().toNanos()) {
            return false;
        }
        if (confirm || (since >= askGapNanos && isGrown(asks))) {
            return true;
        }
        return !(isEmpty && sentEmpty) && since >= times.renewal().toNanos();
    }

    /** Notes that a statement is sent now. */
    void sending(
            long sequence,
            Map<PoolId, Integer> asks,
            boolean isEmpty,
            SlotLeaseTiming times,
            long now) {
        long min = times.minGap().toNanos();
        boolean busy = now - sentNanos < times.maxGap().toNanos();
        askGapNanos = busy ? Math.min(times.maxGap().toNanos(), 2 * askGapNanos + min) : min;
        sent.put(sequence, now);
        if (sent.size() > REMEMBERED) {
            sent.remove(sent.keySet().iterator().next());
        }
        sentNanos = now;
        sentAsks = Map.copyOf(asks);
        sentEmpty = isEmpty;
        confirm = false;
    }

    private boolean isGrown(Map<PoolId, Integer> asks) {
        for (Map.Entry<PoolId, Integer> each : asks.entrySet()) {
            if (each.getValue() > sentAsks.getOrDefault(each.getKey(), 0)) {
                return true;
            }
        }
        return false;
    }
}
