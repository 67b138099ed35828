package org.crocusgrade.core.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Divides slots by max-min fairness: no share exceeds the demand, and a share is smaller than
 * another only where its demand is smaller. Slots that remain because they do not divide evenly go
 * one each to some of the keys whose demand is not met; the rotation number selects which, so that
 * over time every borrower gets slots even when there are more borrowers than slots.
 */
public final class FairShares {
    private FairShares() {}

    /**
     * Returns the share of each key in {@code wanted}.
     *
     * @param wanted the demand of each key, in slots
     * @param capacity the slots to divide
     * @param rotation a number that grows with time; it selects which keys get the remaining slots
     */
    public static <K extends Comparable<K>> Map<K, Integer> divide(
            Map<K, Integer> wanted, int capacity, long rotation) {
        Map<K, Integer> shares = new TreeMap<>();
        List<K> unsatisfied = new ArrayList<>();
        for (Map.Entry<K, Integer> each : wanted.entrySet()) {
            shares.put(each.getKey(), 0);
            if (each.getValue() > 0) {
                unsatisfied.add(each.getKey());
            }
        }
        int remaining = capacity;
        while (!unsatisfied.isEmpty() && remaining >= unsatisfied.size()) {
            int increment = remaining / unsatisfied.size();
            for (K key : unsatisfied) {
                int extra = Math.min(increment, wanted.get(key) - shares.get(key));
                shares.merge(key, extra, Integer::sum);
                remaining -= extra;
            }
            unsatisfied.removeIf(key -> shares.get(key) >= wanted.get(key));
        }
        if (unsatisfied.isEmpty() || remaining == 0) {
            return shares;
        }
        Collections.sort(unsatisfied);
        int start = (int) Math.floorMod(rotation, (long) unsatisfied.size());
        for (int i = 0; i < remaining; i++) {
            shares.merge(unsatisfied.get((start + i) % unsatisfied.size()), 1, Integer::sum);
        }
        return shares;
    }
}
