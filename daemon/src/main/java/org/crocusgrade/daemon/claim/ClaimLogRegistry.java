package org.crocusgrade.daemon.claim;

import com.google.common.flogger.FluentLogger;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.Consumer;
import java.util.function.IntPredicate;
import org.crocusgrade.core.claim.Claim;
import org.crocusgrade.core.claim.ClaimLog;
import org.crocusgrade.core.claim.ClaimVerdict;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.KeyValueStore;

/**
 * The claim logs that this daemon writes; each is loaded at the first claim on its shard. Must be
 * used on the control thread only.
 */
final class ClaimLogRegistry {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final KeyValueStore store;
    private final Clock clock;
    private final ScheduledExecutorService control;
    private final BootId boot;
    private final Map<Integer, Shard> shards = new HashMap<>();
    private long loadCount;

    ClaimLogRegistry(
            KeyValueStore store, Clock clock, ScheduledExecutorService control, BootId boot) {
        this.store = store;
        this.clock = clock;
        this.control = control;
        this.boot = boot;
    }

    void claim(Claim claim, Consumer<ClaimVerdict> verdict) {
        Shard shard = shards.computeIfAbsent(claim.id().shard(), this::open);
        if (shard.loaded) {
            shard.log.claim(claim, verdict);
        } else {
            shard.pending.add(new PendingClaim(claim, verdict));
        }
    }

    void release(Claim claim) {
        Shard shard = shards.get(claim.id().shard());
        if (shard == null) {
            return;
        }
        shard.pending.removeIf(request -> request.claim.equals(claim));
        if (shard.loaded) {
            shard.log.release(claim);
        }
    }

    /**
     * Unloads logs without pending writes that other daemons write now.
     *
     * @param isWrittenHere whether this daemon writes a shard's log
     */
    void retain(IntPredicate isWrittenHere) {
        Iterator<Map.Entry<Integer, Shard>> iterator = shards.entrySet().iterator();
        while (iterator.hasNext()) {
            Map.Entry<Integer, Shard> entry = iterator.next();
            Shard shard = entry.getValue();
            if (!isWrittenHere.test(entry.getKey()) && shard.loaded && shard.log.isIdle()) {
                iterator.remove();
            }
        }
    }

    /** Returns the number of claims in all loaded logs. */
    int size() {
        int size = 0;
        for (Shard shard : shards.values()) {
            size += shard.log.size();
        }
        return size;
    }

    private Shard open(int number) {
        loadCount++;
        String writer = boot.value() + "." + loadCount;
        Shard shard = new Shard(new ClaimLog(store, clock, control, number, writer));
        shard.log
                .load()
                .emitOn(control)
                .subscribe()
                .with(done -> onLoaded(shard), failure -> onLoadFailed(number, shard, failure));
        return shard;
    }

    private void onLoaded(Shard shard) {
        shard.loaded = true;
        shard.pending.forEach(request -> shard.log.claim(request.claim, request.verdict));
        shard.pending.clear();
    }

    private void onLoadFailed(int number, Shard shard, Throwable failure) {
        logger.atWarning().log(
                "claim: cannot load the log of shard %d: %s", number, failure.getMessage());
        shards.remove(number);
        shard.pending.forEach(request -> request.verdict.accept(ClaimVerdict.UNAVAILABLE));
        shard.pending.clear();
    }

    private record PendingClaim(Claim claim, Consumer<ClaimVerdict> verdict) {}

    /** The log of one shard, with the claims that wait until it is loaded. */
    private static final class Shard {
        final ClaimLog log;
        final List<PendingClaim> pending = new ArrayList<>();
        boolean loaded;

        Shard(ClaimLog log) {
            this.log = log;
        }
    }
}
