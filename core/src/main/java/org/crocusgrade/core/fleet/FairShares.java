package org.crocusgrade.core.fleet;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Divides slots by max-min fairness: nobody gets more than it wants, and nobody gets less than
 * another unless it wants less. Slots that do not divide evenly go round with the turn, so that
 * over time even more daemons than slots each get some.
 */
public final class FairShares {
    private FairShares() {}

    /**
     * Divides the slots.
     *
     * @param wanted what each wants
     * @param capacity the slots to divide
     * @param turn a number that moves on with time
     */
    public static <K extends Comparable<K>> Map<K, Integer> divide(
            Map<K, Integer> wanted, int capacity, long turn) {
        Map<K, Integer> shares = new TreeMap<>();
        List<K> open = new ArrayList<>();
        for (Map.Entry<K, Integer> each : wanted.entrySet()) {
            shares.put(each.getKey(), 0);
            if (each.getValue() > 0) {
                open.add(each.getKey());
            }
        }
        int left = capacity;
        while (!open.isEmpty() && left >= open.size()) {
            int level = left / open.size();
            for (K key : open) {
                int more = Math.min(level, wanted.get(key) - shares.get(key));
                shares.merge(key, more, Integer::sum);
                left -= more;
            }
            open.removeIf(key -> shares.get(key) >= wanted.get(key));
        }
        if (open.isEmpty() || left == 0) {
            return shares;
        }
        Collections.sort(open);
        int start = (int) Math.floorMod(turn, (long) open.size());
        for (int i = 0; i < left; i++) {
            shares.merge(open.get((start + i) % open.size()), 1, Integer::sum);
        }
        return shares;
    }
}
