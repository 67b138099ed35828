package org.crocusgrade.bench.experiment;

import java.util.List;
import java.util.function.Consumer;
import org.crocusgrade.bench.spread.ShapesExperiment;

/** A named experiment of bounded length. */
public interface Experiment {
    /** Returns the name that selects the experiment on the command line. */
    String name();

    /** Returns a one-line summary of what is measured and of the baseline. */
    String summary();

    /** Runs the experiment and reports each step to {@code progress} as a line of text. */
    ExperimentTable run(long seed, Consumer<String> progress) throws ExperimentException;

    /** Returns all experiments in the order in which they are listed. */
    static List<Experiment> all() {
        return List.of(
                new ControlExperiment(ControlExperiment.Sweep.WORKERS),
                new ControlExperiment(ControlExperiment.Sweep.DAEMONS),
                new ControlExperiment(ControlExperiment.Sweep.POOLS),
                new PlannerExperiment(),
                new ConfigPropagationExperiment(),
                new ShapesExperiment(),
                new TakeoverExperiment(),
                new OverheadExperiment(),
                new ClaimExperiment(),
                new StateSizeExperiment());
    }
}
