package org.crocusgrade.bench.spread;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.function.Consumer;
import org.crocusgrade.bench.experiment.Experiment;
import org.crocusgrade.bench.experiment.ExperimentException;
import org.crocusgrade.bench.experiment.ExperimentTable;
import org.crocusgrade.core.config.ConfigException;
import org.crocusgrade.peer.PeerException;

/**
 * Compares a chain, trees and a flat push as topologies for spreading a configuration, for a change
 * of one file and of all files (a megabyte).
 *
 * <p>All daemons run in this process and share its processors, so that the work of a daemon on a
 * version (checking 80 files when all have changed) weighs more than with one host for each daemon.
 * This favours no topology, since each daemon does this work once in all of them.
 */
public final class ShapesExperiment implements Experiment {
    private static final List<Integer> SIZES = List.of(2, 9, 30, 100);
    private static final int FLAT = Integer.MAX_VALUE;
    private static final List<Integer> FAN_OUTS = List.of(1, 2, 4, 8, FLAT);
    private static final int WARM_UP = 2;
    private static final int ROUNDS = 3;
    private static final double MILLIS = 1e6;

    @Override
    public String name() {
        return "config-shapes";
    }

    @Override
    public String summary() {
        return "how long a configuration takes along a chain and trees, beside a flat push";
    }

    @Override
    public ExperimentTable run(long seed, Consumer<String> progress) throws ExperimentException {
        List<String> columns = new ArrayList<>(List.of("daemons"));
        for (int fanOut : FAN_OUTS) {
            String shape = fanOut == 1 ? "chain" : fanOut == FLAT ? "flat" : "tree of " + fanOut;
            columns.add(shape + " delta ms");
            columns.add(shape + " full ms");
        }
        ExperimentTable table = new ExperimentTable(name(), columns);
        for (int size : SIZES) {
            List<Double> row = new ArrayList<>(List.of((double) size));
            for (int fanOut : FAN_OUTS) {
                row.addAll(measure(size, fanOut));
                progress.accept(columns.subList(0, row.size()).get(row.size() - 1) + " " + row);
            }
            table.add(row);
        }
        return table;
    }

    private static List<Double> measure(int size, int fanOut) throws ExperimentException {
        try (ConfigExchangeFleet fleet = new ConfigExchangeFleet(size, fanOut)) {
            ConfigGenerator configs = new ConfigGenerator();
            List<Double> delta = new ArrayList<>();
            List<Double> full = new ArrayList<>();
            for (int i = 0; i < WARM_UP + ROUNDS; i++) {
                double fullMillis = fleet.measureSpread(configs.nextVersion(true)) / MILLIS;
                double deltaMillis = fleet.measureSpread(configs.nextVersion(false)) / MILLIS;
                if (i >= WARM_UP) {
                    full.add(fullMillis);
                    delta.add(deltaMillis);
                }
            }
            return List.of(median(delta), median(full));
        } catch (PeerException | ConfigException e) {
            throw new ExperimentException("The topologies could not be compared.", e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new ExperimentException("Interrupted while comparing topologies.", e);
        }
    }

    private static double median(List<Double> values) {
        List<Double> sorted = new ArrayList<>(values);
        Collections.sort(sorted);
        return sorted.get(sorted.size() / 2);
    }
}
