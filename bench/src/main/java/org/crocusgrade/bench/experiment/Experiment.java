package org.crocusgrade.bench.experiment;

import java.util.List;
import java.util.function.Consumer;
import org.crocusgrade.bench.spread.ShapesExperiment;

/** One named, bounded experiment. */
public interface Experiment {
    /** Returns its name on the command line. */
    String name();

    /** Returns in one sentence what it measures, and beside what. */
    String summary();

    /** Runs it; progress gets a line for each step. */
    ExperimentTable run(long seed, Consumer<String> progress) throws ExperimentException;

    /** Returns all experiments. */
    static List<Experiment> all() {
        return List.of(
                new ControlExperiment(ControlExperiment.Sweep.WORKERS),
                new ControlExperiment(ControlExperiment.Sweep.DAEMONS),
                new ControlExperiment(ControlExperiment.Sweep.POOLS),
                new PlannerExperiment(),
                new SpreadExperiment(),
                new ShapesExperiment(),
                new TakeoverExperiment(),
                new OverheadExperiment(),
                new ClaimExperiment(),
                new StateExperiment());
    }
}
