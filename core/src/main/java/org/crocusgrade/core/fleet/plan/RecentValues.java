package org.crocusgrade.core.fleet.plan;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** The last few values of a quantity, with their median and spread. */
final class RecentValues {
    /** Values kept; older ones say little about demand that changes its habits. */
    private static final int KEPT = 8;

    private final double[] values = new double[KEPT];
    private int count;

    void add(double value) {
        values[count % KEPT] = value;
        count++;
    }

    /** Returns the values, the oldest first. */
    List<Double> values() {
        List<Double> kept = new ArrayList<>(size());
        for (int i = count - size(); i < count; i++) {
            kept.add(values[i % KEPT]);
        }
        return kept;
    }

    int size() {
        return Math.min(count, KEPT);
    }

    double median() {
        return median(Arrays.copyOf(values, size()));
    }

    /** Returns the median distance from the median. */
    double spread() {
        double mid = median();
        double[] distances = Arrays.copyOf(values, size());
        for (int i = 0; i < distances.length; i++) {
            distances[i] = Math.abs(distances[i] - mid);
        }
        return median(distances);
    }

    private static double median(double[] sorted) {
        if (sorted.length == 0) {
            return Double.NaN;
        }
        Arrays.sort(sorted);
        int mid = sorted.length / 2;
        return sorted.length % 2 == 1 ? sorted[mid] : (sorted[mid - 1] + sorted[mid]) / 2;
    }
}
