package org.crocusgrade.core.member;

import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/**
 * The runs whose promises let an owner go on without the platform's service, and whose fences let
 * another daemon take over. Any two majorities of one set share a member.
 *
 * @param runs the runs, in order, none twice
 */
public record WitnessSet(List<DaemonRun> runs) {
    /** The most witnesses; more cost messages and add nothing. */
    public static final int MAX_WITNESSES = 9;

    /** Sorts the runs. */
    public WitnessSet {
        runs = List.copyOf(new TreeSet<>(runs));
        if (runs.isEmpty() || runs.size() > MAX_WITNESSES) {
            throw new IllegalArgumentException("a witness set must have 1 to 9 runs");
        }
    }

    /**
     * Returns the set of an owner that sees these other runs live: the first of them, and the owner
     * itself if that makes the number odd. So a lone daemon is its own witness, one of two has the
     * other, and one of three goes on with one of the others.
     *
     * @param others the other runs, the most wanted first
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

    /** Returns the smallest number of runs that is more than half. */
    public int majority() {
        return runs.size() / 2 + 1;
    }

    /** Returns whether more than half of the set are among the runs. */
    public boolean hasMajorityIn(Collection<DaemonRun> others) {
        Set<DaemonRun> shared = new TreeSet<>(others);
        shared.retainAll(runs);
        return shared.size() >= majority();
    }
}
