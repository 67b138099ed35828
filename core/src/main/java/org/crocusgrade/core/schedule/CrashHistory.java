package org.crocusgrade.core.schedule;

import java.util.Collection;
import java.util.Collections;
import java.util.Objects;
import java.util.SortedMap;
import java.util.TreeMap;

/** The runs of one task under which workers have crashed. */
public final class CrashHistory {
    /** A task is given up after this many crashes of which it was the only possible cause. */
    private static final int SOLE_LIMIT = 2;

    /** A task is given up after this many crashes right after a start, if one was a sole one. */
    private static final int EARLY_LIMIT_WITH_SOLE = 3;

    /** A task is given up after this many crashes right after a start. */
    private static final int EARLY_LIMIT = 4;

    /** The same with the isolated runs of which nothing is known. */
    private static final int LIMIT = 5;

    /** Number of crashes that are kept and stored: more of them decide nothing. */
    private static final int MAX_KEPT = 8;

    /** From this many crashes on, a task is a suspect even if its runs had lasted for a while. */
    private static final int SUSPECT_LIMIT = 2;

    private SortedMap<Long, Crash> crashes = Collections.emptySortedMap();

    /** Returns the crashes, in the order of their runs. */
    public Collection<Crash> crashes() {
        return crashes.values();
    }

    /** Adds a crash, or replaces that of the same run. */
    public void put(Crash crash) {
        writable().put(crash.run, crash);
    }

    private SortedMap<Long, Crash> writable() {
        if (crashes.isEmpty()) {
            crashes = new TreeMap<>();
        }
        return crashes;
    }

    public boolean isEmpty() {
        return crashes.isEmpty();
    }

    public int size() {
        return crashes.size();
    }

    /** Returns for how many crashes the task is the only possible cause. */
    public int sole() {
        return count(Kind.SOLE);
    }

    private int count(Kind kind) {
        return (int) crashes.values().stream().filter(c -> c.kind == kind).count();
    }

    /** Adds a crash unless one of the same run is known; returns whether none was. */
    boolean add(Crash crash) {
        boolean added = writable().putIfAbsent(crash.run, crash) == null;
        if (crashes.size() > MAX_KEPT) {
            crashes.remove(crashes.firstKey());
        }
        return added;
    }

    /** Returns whether the crash of the worker of a run is known. */
    boolean contains(long run) {
        return crashes.containsKey(run);
    }

    /** Removes the crash of the worker of a run, which did not crash; returns whether there was. */
    boolean remove(long run) {
        return !crashes.isEmpty() && crashes.remove(run) != null;
    }

    void clear() {
        crashes = Collections.emptySortedMap();
    }

    /** Returns whether the task may be the cause of a crash. */
    boolean isSuspect() {
        return size() >= SUSPECT_LIMIT || size() > count(Kind.LATE);
    }

    /** Returns whether a run had lasted for a while when its worker crashed. */
    boolean hasLate() {
        return count(Kind.LATE) > 0;
    }

    /** Returns whether the task is to be given up. */
    boolean isLimitReached() {
        int sole = sole();
        int early = count(Kind.EARLY) + sole;
        int earlyLimit = sole > 0 ? EARLY_LIMIT_WITH_SOLE : EARLY_LIMIT;
        return sole >= SOLE_LIMIT || early >= earlyLimit || early + count(Kind.UNSEEN) >= LIMIT;
    }

    /**
     * The crash of a worker.
     *
     * @param run the run that it had
     */
    public record Crash(long run, Kind kind) {
        /** Checks the number of the run. */
        public Crash {
            Objects.requireNonNull(kind);
            if (run < 1) {
                throw new IllegalArgumentException("run number " + run + " is not positive");
            }
        }
    }

    /** How far a crash speaks against a task. The order is that of the stored numbers. */
    public enum Kind {
        /** The run had lasted for a while. */
        LATE,
        /** The run had just begun, as had others. */
        EARLY,
        /** No other submission can have caused the crash. */
        SOLE,
        /** An isolated run of an earlier owner, of which no worker knows. */
        UNSEEN
    }
}
