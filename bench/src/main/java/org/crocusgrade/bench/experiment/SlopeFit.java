package org.crocusgrade.bench.experiment;

import java.util.List;

/**
 * A straight line fitted to points by least squares.
 *
 * @param slope the increase of y per unit of x
 * @param intercept y at x = 0
 * @param rSquared the share of the variance of y that the line explains, from 0 to 1
 */
public record SlopeFit(double slope, double intercept, double rSquared) {
    private static final int MIN_POINTS = 2;

    /** Fits a line to at least two points that differ in x. */
    public static SlopeFit of(List<Double> xs, List<Double> ys) {
        if (xs.size() != ys.size() || xs.size() < MIN_POINTS) {
            throw new IllegalArgumentException(
                    "line fit needs equally many x and y values, at least two of each");
        }
        double meanX = mean(xs);
        double meanY = mean(ys);
        double xx = 0;
        double xy = 0;
        double yy = 0;
        for (int i = 0; i < xs.size(); i++) {
            double dx = xs.get(i) - meanX;
            double dy = ys.get(i) - meanY;
            xx += dx * dx;
            xy += dx * dy;
            yy += dy * dy;
        }
        if (xx == 0) {
            throw new IllegalArgumentException("line fit needs at least two different x values");
        }
        double slope = xy / xx;
        double explained = yy == 0 ? 1 : xy * xy / (xx * yy);
        return new SlopeFit(slope, meanY - slope * meanX, explained);
    }

    /** Returns the value of the line at x. */
    public double at(double x) {
        return intercept + slope * x;
    }

    private static double mean(List<Double> values) {
        return values.stream().mapToDouble(Double::doubleValue).average().orElseThrow();
    }
}
