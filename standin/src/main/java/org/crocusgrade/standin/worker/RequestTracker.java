package org.crocusgrade.standin.worker;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.standin.worker.Receipt.Ending;

/**
 * Tracks the requests that run on one stand-in worker and keeps the receipts of those that ended or
 * were refused. It admits a request if the worker is not leaving and has a free slot.
 */
public final class RequestTracker {
    private final Clock clock;
    private final int slots;
    private final Map<Long, Receipt> running = new LinkedHashMap<>();
    private final List<Receipt> ended = new ArrayList<>();
    private boolean leaving;
    private long nextRun = 1;

    /** Creates a tracker for a worker with the given number of slots, all of them free. */
    public RequestTracker(Clock clock, int slots) {
        this.clock = Objects.requireNonNull(clock);
        this.slots = slots;
    }

    /**
     * Starts a request and returns the number of its run, or records a refusal and returns nothing.
     */
    public synchronized Optional<Long> start(Receipt receipt) {
        if (leaving) {
            refuse(receipt, Ending.REFUSED_LEAVING);
            return Optional.empty();
        }
        if (running.size() >= slots) {
            refuse(receipt, Ending.REFUSED_SLOTS);
            return Optional.empty();
        }
        long run = nextRun++;
        running.put(run, receipt);
        return Optional.of(run);
    }

    /** Records a request as refused, for the reason that the ending gives. */
    public synchronized void refuse(Receipt receipt, Ending ending) {
        ended.add(receipt.withEnd(clock.now(), ending));
    }

    /** Ends a run and records its receipt; returns false if there is no such run. */
    public synchronized boolean end(long run, Ending ending) {
        Receipt receipt = running.remove(run);
        if (receipt == null) {
            return false;
        }
        ended.add(receipt.withEnd(clock.now(), ending));
        return true;
    }

    /** Returns the numbers of the runs under way of a request id. */
    public synchronized List<Long> runsOf(String request) {
        List<Long> matching = new ArrayList<>();
        running.forEach(
                (run, receipt) -> {
                    if (receipt.request().equals(request)) {
                        matching.add(run);
                    }
                });
        return matching;
    }

    /** Returns the number of requests that run now. */
    public synchronized int running() {
        return running.size();
    }

    /** Returns the numbers of all runs under way. */
    public synchronized List<Long> runs() {
        return List.copyOf(running.keySet());
    }

    /** Returns whether new requests are refused because the worker is leaving. */
    public synchronized boolean leaving() {
        return leaving;
    }

    /** Sets whether new requests are refused because the worker is leaving. */
    public synchronized void setLeaving(boolean leaving) {
        this.leaving = leaving;
    }

    /** Returns all receipts, those of requests that still run included. */
    public synchronized List<Receipt> receipts() {
        List<Receipt> all = new ArrayList<>(ended);
        running.values().forEach(r -> all.add(r.withEnd(clock.now(), Ending.RUNNING)));
        return all;
    }
}
