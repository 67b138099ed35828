package org.crocusgrade.bench.experiment;

import java.util.List;

/**
 * A straight line through measured points, by least squares.
 *
 * @param slope what y grows by for one more x
 * @param intercept y at x 0
 * @param rSquared the share of y's variance that the line explains, up to 1
 */
public record SlopeFit(double slope, double intercept, double rSquared) {
    private static final int MIN_POINTS = 2;

    /** Fits a line. */
    public static SlopeFit of(List<Double> xs, List<Double> ys) {
        if (xs.size() != ys.size() || xs.size() < MIN_POINTS) {
            throw new IllegalArgumentException("a line needs two points or more");
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
            throw new IllegalArgumentException("all points have the same x");
        }
        double slope = xy / xx;
        double explained = yy == 0 ? 1 : xy * xy / (xx * yy);
        return new SlopeFit(slope, meanY - slope * meanX, explained);
    }

    /** Returns the line's y at an x. */
    public double at(double x) {
        return intercept + slope * x;
    }

    private static double mean(List<Double> values) {
        return values.stream().mapToDouble(Double::doubleValue).average().orElseThrow();
    }
}
