package org.crocusgrade.core.fleet.plan;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** A sliding window over the last values of a quantity, with their median and spread. */
final class RecentValues {
    /** Size of the window; older values do not represent demand whose pattern changes. */
    private static final int MAX_VALUES = 8;

    private final double[] values = new double[MAX_VALUES];
    private int count;

    void add(double value) {
        values[count % MAX_VALUES] = value;
        count++;
    }

    /** Returns the values, oldest first. */
    List<Double> values() {
        List<Double> kept = new ArrayList<>(size());
        for (int i = count - size(); i < count; i++) {
            kept.add(values[i % MAX_VALUES]);
        }
        return kept;
    }

    int size() {
        return Math.min(count, MAX_VALUES);
    }

    /** Returns the median; NaN without values. */
    double median() {
        return median(Arrays.copyOf(values, size()));
    }

    /** Returns the median absolute deviation from the median; NaN without values. */
    double spread() {
        double mid = median();
        double[] distances = Arrays.copyOf(values, size());
        for (int i = 0; i < distances.length; i++) {
            distances[i] = Math.abs(distances[i] - mid);
        }
        return median(distances);
    }

    private static double median(double[] array) {
        if (array.length == 0) {
            return Double.NaN;
        }
        Arrays.sort(array);
        int mid = array.length / 2;
        return array.length % 2 == 1 ? array[mid] : (array[mid - 1] + array[mid]) / 2;
    }
}
