package org.crocusgrade.standin.worker;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.standin.worker.Receipt.Ending;

/** The requests that run on one stand-in worker, and the receipts of those that ended. */
public final class WorkerRuns {
    private final Clock clock;
    private final int slots;
    private final Map<Long, Receipt> running = new LinkedHashMap<>();
    private final List<Receipt> ended = new ArrayList<>();
    private boolean leaving;
    private long nextRun = 1;

    /** Makes a worker with its slots free. */
    public WorkerRuns(Clock clock, int slots) {
        this.clock = Objects.requireNonNull(clock);
        this.slots = slots;
    }

    /** Starts a request, or refuses it and keeps a receipt of that. */
    public synchronized Optional<Long> start(Receipt arrived) {
        if (leaving) {
            refuse(arrived, Ending.REFUSED_LEAVING);
            return Optional.empty();
        }
        if (running.size() >= slots) {
            refuse(arrived, Ending.REFUSED_SLOTS);
            return Optional.empty();
        }
        long run = nextRun++;
        running.put(run, arrived);
        return Optional.of(run);
    }

    /** Keeps the receipt of a request refused for another reason. */
    public synchronized void refuse(Receipt arrived, Ending how) {
        ended.add(arrived.ended(clock.now(), how));
    }

    /** Ends a request; does nothing and returns false if it does not run. */
    public synchronized boolean end(long run, Ending how) {
        Receipt receipt = running.remove(run);
        if (receipt == null) {
            return false;
        }
        ended.add(receipt.ended(clock.now(), how));
        return true;
    }

    /** Returns the runs of a request. */
    public synchronized List<Long> runsOf(String request) {
        List<Long> found = new ArrayList<>();
        running.forEach(
                (run, receipt) -> {
                    if (receipt.request().equals(request)) {
                        found.add(run);
                    }
                });
        return found;
    }

    /** Returns how many requests run. */
    public synchronized int running() {
        return running.size();
    }

    /** Returns every run under way. */
    public synchronized List<Long> runs() {
        return List.copyOf(running.keySet());
    }

    /** Returns whether new work is refused because the worker leaves. */
    public synchronized boolean leaving() {
        return leaving;
    }

    /** Sets whether new work is refused because the worker leaves. */
    public synchronized void setLeaving(boolean leaving) {
        this.leaving = leaving;
    }

    /** Returns the receipts, also of requests that still run. */
    public synchronized List<Receipt> receipts() {
        List<Receipt> all = new ArrayList<>(ended);
        running.values().forEach(r -> all.add(r.ended(clock.now(), Ending.RUNNING)));
        return all;
    }
}
