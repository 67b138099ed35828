package org.crocusgrade.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.crocusgrade.bench.experiment.Experiment;
import org.crocusgrade.bench.experiment.ExperimentException;
import org.crocusgrade.bench.experiment.ExperimentFiles;
import org.crocusgrade.bench.experiment.ExperimentTable;

/** {@code bench NAME}: runs an experiment; {@code bench list} lists all experiments. */
final class BenchCommand implements Command {
    private static final String LIST = "list";
    private static final Option<String> NAME =
            Option.required(
                    "NAME", ArgumentValueParsers.text("an experiment, or list"), "the experiment");
    private static final Option<Path> OUTPUT =
            Option.of(
                    "--output",
                    ArgumentValueParsers.file(),
                    Path.of("bench-out"),
                    "the directory for output files");

    @Override
    public String name() {
        return "bench";
    }

    @Override
    public String help() {
        return "Runs an experiment and writes its table, CSV and plot; 'bench list' lists them.";
    }

    @Override
    public List<Option<?>> options() {
        return List.of(NAME, TrialOptions.SEED, OUTPUT);
    }

    @Override
    public ExitCode run(Invocation invocation) throws CliException {
        TrialOptions.quietLogs();
        String name = invocation.get(NAME);
        if (name.equals(LIST)) {
            list(invocation);
            return ExitCode.DONE;
        }
        Optional<Experiment> found =
                Experiment.all().stream().filter(e -> e.name().equals(name)).findFirst();
        if (found.isEmpty()) {
            throw new CliException(
                    CliMessage.BAD_ARGUMENT, "NAME", name, "a name that 'bench list' prints");
        }
        try {
            ExperimentTable table =
                    found.get()
                            .run(
                                    invocation.get(TrialOptions.SEED),
                                    line -> invocation.err().println(line));
            List<Path> files = ExperimentFiles.write(table, invocation.get(OUTPUT));
            files.forEach(file -> invocation.err().println("wrote " + file));
            invocation.print(TrialOptions.json(table.toJson()), table.toText());
            return ExitCode.DONE;
        } catch (ExperimentException e) {
            throw new CliException(CliMessage.FAILED, e.getMessage() + ": " + e.getCause());
        }
    }

    private static void list(Invocation invocation) {
        ArrayNode array = Invocation.JSON.createArrayNode();
        StringBuilder text = new StringBuilder();
        for (Experiment each : Experiment.all()) {
            array.addObject().put("name", each.name()).put("summary", each.summary());
            text.append(String.format("%-20s %s%n", each.name(), each.summary()));
        }
        invocation.print(array, text.toString());
    }
}
