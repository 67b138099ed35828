package org.crocusgrade.bench.experiment;

import java.util.Map;
import java.util.TreeMap;

/** Generates service configuration files for experiments, one service and pool each. */
final class PoolFiles {
    private PoolFiles() {}

    /**
     * Returns the files by name. The workers are divided evenly over the pools, and the last pool
     * is the spare one.
     */
    static Map<String, String> of(int pools, int workers) {
        Map<String, String> texts = new TreeMap<>();
        int usualWorkers = Math.max(1, workers / pools);
        for (int i = 0; i < pools; i++) {
            texts.put(name(i) + ".ini", text(name(i), usualWorkers, workers, i == pools - 1));
        }
        return texts;
    }

    static String name(int index) {
        return String.format("service-%03d", index + 1);
    }

    private static String text(String name, int usualWorkers, int workers, boolean spare) {
        return String.join(
                "\n",
                "[service]",
                "name = " + name,
                "pool = " + name,
                "class = must-finish",
                "deadline = 30s",
                "run-time = 50ms",
                "queue-bound = 1000",
                "cancel-running = no",
                "key-required = no",
                "[needs]",
                "cores = 1",
                "memory = 1GiB",
                "accelerators = 0",
                "[capacity]",
                "min-workers = 1",
                "usual-workers = " + usualWorkers,
                "max-workers = " + Math.max(usualWorkers, Math.min(workers, 4 * usualWorkers)),
                "spare = " + (spare ? "yes" : "no"),
                "[budget]",
                "max-unavailable = 1",
                "max-unavailable-zones = 1",
                "[maintenance]",
                "every = 21d",
                "max-drain = 5min",
                "yield-to-surge = yes",
                "");
    }
}
