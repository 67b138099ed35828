package org.crocusgrade.core.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The runs whose promises let an owner continue while the platform's service is unavailable, and
 * whose fences let another daemon take over. Any two majorities of a set share a run.
 *
 * @param runs the runs, sorted and without duplicates
 */
public record WitnessSet(List<DaemonRun> runs) {
    /** Maximum number of witnesses; more would cost messages without a benefit. */
    public static final int MAX_WITNESSES = 9;

    /** Sorts the runs, removes duplicates and checks their number. */
    public WitnessSet {
        runs = List.copyOf(new TreeSet<>(runs));
        if (runs.isEmpty() || runs.size() > MAX_WITNESSES) {
            throw new IllegalArgumentException("a witness set must have 1 to 9 different runs");
        }
    }

    /**
     * Returns the witness set of an owner: the first {@link #MAX_WITNESSES} other live runs, plus
     * the owner itself if that makes the number odd. So a single daemon is its own witness; one of
     * two daemons has the other as its only witness; one of three needs, besides itself, a promise
     * from one of the others.
     *
     * @param others the other live runs in order of preference
     */
    public static WitnessSet of(DaemonRun owner, List<DaemonRun> others) {
        List<DaemonRun> runs = new ArrayList<>();
        for (DaemonRun each : others) {
            if (!each.daemon().equals(owner.daemon()) && runs.size() < MAX_WITNESSES) {
                runs.add(each);
            }
        }
        if (runs.size() % 2 == 0) {
            runs.add(owner);
        }
        return new WitnessSet(runs);
    }

    /** Returns the smallest number of runs that is more than half of the set. */
    public int majority() {
        return runs.size() / 2 + 1;
    }

    /** Returns whether a majority of this set is among the given runs. */
    public boolean hasMajorityIn(Collection<DaemonRun> others) {
        Set<DaemonRun> shared = new TreeSet<>(others);
        shared.retainAll(runs);
        return shared.size() >= majority();
    }
}
