package org.crocusgrade.bench.spread;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.crocusgrade.core.config.ConfigException;
import org.crocusgrade.peer.PeerException;

/**
 * Compares a flat push, trees and a chain, for a change of one file and of a whole megabyte.
 *
 * <p>Beside each measured time stands what the usual formula for such a shape predicts from two
 * figures measured in the same run between two daemons: d, the time that one file takes to be in
 * force at one other daemon, and L, the time that the whole megabyte takes. A daemon hands on only
 * what it has whole, so a level of a tree with fan-out n adds d + n L, and nothing is pipelined.
 */
public final class ShapeComparison {
    private static final int WARM_UP = 3;
    private static final double MILLIS = 1e6;

    private ShapeComparison() {}

    /**
     * One shape at one size.
     *
     * @param daemons daemons of the zone
     * @param fanOut how many others each hands the configuration to
     * @param deltaMs median until all have a change of one file, in milliseconds
     * @param fullMs median until all have a changed megabyte, in milliseconds
     * @param predictedFullMs what the formula gives for the megabyte, in milliseconds
     */
    public record Row(
            int daemons, int fanOut, double deltaMs, double fullMs, double predictedFullMs) {}

    /** Measures every shape at the sizes; progress gets a line for each. */
    public static List<Row> run(List<Integer> sizes, int rounds, Consumer<String> progress)
            throws PeerException, ConfigException, InterruptedException {
        Row pair = measure(2, 1, rounds, 0, 0);
        progress.accept(
                "two daemons: d %.2f ms, L %.2f ms".formatted(pair.deltaMs(), pair.fullMs()));
        List<Row> rows = new ArrayList<>();
        for (int size : sizes) {
            for (int fanOut : new TreeSet<>(List.of(1, 2, 4, 8, size - 1))) {
                Row row = measure(size, fanOut, rounds, pair.deltaMs(), pair.fullMs());
                rows.add(row);
                progress.accept(row.toString());
            }
        }
        return rows;
    }

    private static Row measure(int size, int fanOut, int rounds, double d, double l)
            throws PeerException, ConfigException, InterruptedException {
        try (ShapeFleet fleet = new ShapeFleet(size, fanOut)) {
            Versions versions = new Versions();
            List<Double> delta = new ArrayList<>();
            List<Double> full = new ArrayList<>();
            for (int i = 0; i < WARM_UP + rounds; i++) {
                double whole = fleet.spread(versions.next(true)) / MILLIS;
                double one = fleet.spread(versions.next(false)) / MILLIS;
                if (i >= WARM_UP) {
                    full.add(whole);
                    delta.add(one);
                }
            }
            return new Row(size, fanOut, median(delta), median(full), predict(size, fanOut, d, l));
        }
    }

    private static double predict(int size, int fanOut, double d, double l) {
        int levels = 0;
        long reached = 1;
        long level = 1;
        while (reached < size) {
            level *= fanOut;
            reached += level;
            levels++;
        }
        return levels * (d + Math.min(fanOut, size - 1) * l);
    }

    private static double median(List<Double> values) {
        List<Double> sorted = new ArrayList<>(values);
        Collections.sort(sorted);
        return sorted.get(sorted.size() / 2);
    }

    /** Runs the comparison and prints it; an argument gives the rounds. */
    public static void main(String[] args) throws Exception {
        int rounds = args.length > 0 ? Integer.parseInt(args[0]) : 11;
        run(List.of(9, 100), rounds, System.out::println);
    }
}
