package org.crocusgrade.cli;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;

/**
 * A time in which startable tasks of a customer waited in a pool for the resource cap of the
 * customer, as the owner of the pool logged it. The owner logs this for all tasks of the customer
 * together, not for each submission.
 *
 * @param started the line with which it began
 * @param ended the line with which it ended: the owner's own, or that of a change of the owner,
 *     after which the new owner logs anew; empty if the logs have none
 */
record CapWait(LogLine started, Optional<LogLine> ended) {
    /** Rejects null fields. */
    CapWait {
        Objects.requireNonNull(started);
        Objects.requireNonNull(ended);
    }

    /**
     * Extracts the waits of a customer in some pools, in the order of their start.
     *
     * @param lines the lines of all daemons in the order of time
     */
    static List<CapWait> of(String customer, Set<String> pools, List<LogLine> lines) {
        List<CapWait> waits = new ArrayList<>();
        Map<String, Integer> open = new HashMap<>();
        for (LogLine line : lines) {
            String pool = pool(line);
            if (!pools.contains(pool)) {
                continue;
            }
            if (line.event().equals("cap-wait-started")) {
                if (line.get("customer").equals(customer)) {
                    open.put(pool, waits.size());
                    waits.add(new CapWait(line, Optional.empty()));
                }
                continue;
            }
            Integer index = open.get(pool);
            if (index != null && waits.get(index).isEndedBy(line)) {
                waits.set(index, new CapWait(waits.get(index).started, Optional.of(line)));
                open.remove(pool);
            }
        }
        return waits;
    }

    private static String pool(LogLine line) {
        return line.get("pool").isEmpty()
                ? line.get("duty").replace("pool.", "")
                : line.get("pool");
    }

    /** A replaced owner that still logs does not end a wait that the new owner has logged. */
    private boolean isEndedBy(LogLine line) {
        boolean sameOwner = line.source().equals(started.source());
        return switch (line.event()) {
            case "cap-wait-ended" ->
                    sameOwner && line.get("customer").equals(started.get("customer"));
            case "duty-lost" -> sameOwner;
            case "duty-gained" -> true;
            default -> false;
        };
    }

    /**
     * Returns whether the wait shares some time with an interval.
     *
     * @param to the end of the interval; empty if it has none
     */
    boolean overlaps(String from, Optional<String> to) {
        boolean endsBefore = ended.isPresent() && ended.get().time().compareTo(from) <= 0;
        boolean startsAfter = to.isPresent() && started.time().compareTo(to.get()) >= 0;
        return !endsBefore && !startsAfter;
    }

    /**
     * Describes the wait for a submission of the customer.
     *
     * @param firstRun when the first run of the submission was ordered, if any was
     */
    String describe(Optional<String> firstRun) {
        String end = ended.map(CapWait::describeEnd).orElse("the end of the logs");
        String run =
                firstRun.map(t -> "the first run of this submission was ordered at " + t)
                        .orElse("no run of this submission was ordered");
        String text =
                "tasks of customer %s waited for its cap in pool %s from %s to %s"
                        + " (running %s, granted %s, wanted %s); %s";
        return text.formatted(
                started.get("customer"),
                started.get("pool"),
                started.time(),
                end,
                started.get("running"),
                started.get("granted"),
                started.get("wanted"),
                run);
    }

    private static String describeEnd(LogLine line) {
        boolean sameOwner = line.event().equals("cap-wait-ended");
        return sameOwner ? line.time() : "the change of owner at " + line.time();
    }
}
