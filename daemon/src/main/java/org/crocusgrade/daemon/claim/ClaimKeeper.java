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
 * The claim logs that this daemon writes, each loaded when it is first needed. Everything here runs
 * on the control thread.
 */
final class ClaimKeeper {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    private final KeyValueStore store;
    private final Clock clock;
    private final ScheduledExecutorService control;
    private final BootId boot;
    private final Map<Integer, Shard> shards = new HashMap<>();
    private long loads;

    ClaimKeeper(KeyValueStore store, Clock clock, ScheduledExecutorService control, BootId boot) {
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
            shard.waiting.add(new Wish(claim, verdict));
        }
    }

    void release(Claim claim) {
        Shard shard = shards.get(claim.id().shard());
        if (shard == null) {
            return;
        }
        shard.waiting.removeIf(wish -> wish.claim.equals(claim));
        if (shard.loaded) {
            shard.log.release(claim);
        }
    }

    /** Forgets idle logs that other daemons write now. */
    void retain(IntPredicate isKept) {
        Iterator<Map.Entry<Integer, Shard>> all = shards.entrySet().iterator();
        while (all.hasNext()) {
            Map.Entry<Integer, Shard> each = all.next();
            Shard shard = each.getValue();
            if (!isKept.test(each.getKey()) && shard.loaded && shard.log.isIdle()) {
                all.remove();
            }
        }
    }

    /** Returns the number of claims in the logs that are loaded. */
    int size() {
        int size = 0;
        for (Shard shard : shards.values()) {
            size += shard.log.size();
        }
        return size;
    }

    private Shard open(int number) {
        loads++;
        String writer = boot.value() + "." + loads;
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
        shard.waiting.forEach(wish -> shard.log.claim(wish.claim, wish.verdict));
        shard.waiting.clear();
    }

    private void onLoadFailed(int number, Shard shard, Throwable failure) {
        logger.atWarning().log("claim: cannot load log %d: %s", number, failure.getMessage());
        shards.remove(number);
        shard.waiting.forEach(wish -> wish.verdict.accept(ClaimVerdict.UNAVAILABLE));
        shard.waiting.clear();
    }

    private record Wish(Claim claim, Consumer<ClaimVerdict> verdict) {}

    /** One log with the wishes that wait for it to be loaded. */
    private static final class Shard {
        final ClaimLog log;
        final List<Wish> waiting = new ArrayList<>();
        boolean loaded;

        Shard(ClaimLog log) {
            this.log = log;
        }
    }
}
