package org.crocusgrade.core.fleet;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.PoolId;

/** The borrower's state of its message exchange with one owner. */
final class OwnerSession {
    /** The owner's boot id before its first answer. */
    static final BootId NO_BOOT = new BootId("none");

    /**
     * The number of sent demand messages whose send times are kept; an answer to an older one is
     * dropped.
     */
    private static final int MAX_SENT = 256;

    private final DaemonId owner;
    private final Map<Long, Long> sentTimes = new LinkedHashMap<>();
    private final Map<PoolId, Integer> free = new HashMap<>();
    private BootId ownerBoot = NO_BOOT;
    private long lastAnswer;
    private long lastSentNanos;
    private long growthIntervalNanos;
    private Map<PoolId, Integer> lastRequested = Map.of();
    private boolean confirmationDue;
    private boolean lastEmpty = true;

    OwnerSession(DaemonId owner) {
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

    /**
     * Records an owner's message; returns false and ignores it if it is not newer than the last one
     * of the same owner process, or answers a demand message whose send time is no longer kept.
     */
    boolean accept(SlotGrant grant) {
        if (!sentTimes.containsKey(grant.replyTo())) {
            return false;
        }
        boolean sameProcess = grant.boot().equals(ownerBoot);
        if (sameProcess && grant.answer() <= lastAnswer) {
            return false;
        }
        ownerBoot = grant.boot();
        lastAnswer = grant.answer();
        free.clear();
        for (SlotGrant.PoolShare each : grant.pools()) {
            free.put(each.pool(), each.free());
        }
        if (!sameProcess || !grant.renews()) {
            confirmationDue = true;
        }
        return true;
    }

    long sentNanos(long replyTo) {
        return sentTimes.get(replyTo);
    }

    /**
     * Makes a demand message due, because slots that the owner recalled were returned and other
     * borrowers wait for them.
     */
    void makeDue() {
        confirmationDue = true;
    }

    /**
     * Returns whether a demand message is due: the owner's last message needs a confirmation,
     * demand has grown, or the renewal interval has passed. While demand keeps growing, the
     * interval between two messages doubles up to {@link SlotLeaseTiming#maxGrowthInterval}.
     */
    boolean isDue(
            Map<PoolId, Integer> requested, boolean isEmpty, SlotLeaseTiming timing, long now) {
        if (sentTimes.isEmpty()) {
            return true;
        }
        long sinceLastNanos = now - lastSentNanos;
        if (sinceLastNanos < timing.minInterval().toNanos()) {
            return false;
        }
        if (confirmationDue || (sinceLastNanos >= growthIntervalNanos && hasGrown(requested))) {
            return true;
        }
        return !(isEmpty && lastEmpty) && sinceLastNanos >= timing.renewal().toNanos();
    }

    /** Records that a demand message is sent now, and updates the interval for growing demand. */
    void recordSent(
            long sequence,
            Map<PoolId, Integer> requested,
            boolean isEmpty,
            SlotLeaseTiming timing,
            long now) {
        long minNanos = timing.minInterval().toNanos();
        boolean isFrequent = now - lastSentNanos < timing.maxGrowthInterval().toNanos();
        growthIntervalNanos =
                isFrequent
                        ? Math.min(
                                timing.maxGrowthInterval().toNanos(),
                                2 * growthIntervalNanos + minNanos)
                        : minNanos;
        sentTimes.put(sequence, now);
        if (sentTimes.size() > MAX_SENT) {
            sentTimes.remove(sentTimes.keySet().iterator().next());
        }
        lastSentNanos = now;
        lastRequested = Map.copyOf(requested);
        lastEmpty = isEmpty;
        confirmationDue = false;
    }

    private boolean hasGrown(Map<PoolId, Integer> requested) {
        for (Map.Entry<PoolId, Integer> each : requested.entrySet()) {
            if (each.getValue() > lastRequested.getOrDefault(each.getKey(), 0)) {
                return true;
            }
        }
        return false;
    }
}
