package org.crocusgrade.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import org.crocusgrade.bench.experiment.Experiment;
import org.crocusgrade.bench.experiment.ExperimentException;
import org.crocusgrade.bench.experiment.ExperimentFiles;
import org.crocusgrade.bench.experiment.ExperimentTable;

/** {@code bench NAME}: runs an experiment; {@code bench list} names them. */
final class BenchCommand implements Command {
    private static final String LIST = "list";
    private static final Option<String> NAME =
            Option.required("NAME", Forms.text("an experiment, or list"), "the experiment");
    private static final Option<Path> OUTPUT =
            Option.of("--output", Forms.file(), Path.of("bench-out"), "where files go");

    @Override
    public String name() {
        return "bench";
    }

    @Override
    public String help() {
        return "Runs an experiment and writes its table, CSV and plot; 'bench list' names them.";
    }

    @Override
    public List<Option<?>> options() {
        return List.of(NAME, TrialOptions.SEED, OUTPUT);
    }

    @Override
    public ExitCode run(Invocation call) throws CliException {
        TrialOptions.quietLogs();
        String name = call.get(NAME);
        if (name.equals(LIST)) {
            list(call);
            return ExitCode.DONE;
        }
        Optional<Experiment> found =
                Experiment.all().stream().filter(e -> e.name().equals(name)).findFirst();
        if (found.isEmpty()) {
            throw new CliException(CliMessage.BAD_ARGUMENT, "NAME", name, "see bench list");
        }
        try {
            ExperimentTable table =
                    found.get().run(call.get(TrialOptions.SEED), line -> call.err().println(line));
            List<Path> files = ExperimentFiles.write(table, call.get(OUTPUT));
            files.forEach(file -> call.err().println("wrote " + file));
            call.print(TrialOptions.json(table.toJson()), table.toText());
            return ExitCode.DONE;
        } catch (ExperimentException e) {
            throw new CliException(CliMessage.FAILED, e.getMessage() + ": " + e.getCause());
        }
    }

    private static void list(Invocation call) {
        ArrayNode array = Invocation.JSON.createArrayNode();
        StringBuilder text = new StringBuilder();
        for (Experiment each : Experiment.all()) {
            array.addObject().put("name", each.name()).put("summary", each.summary());
            text.append(String.format("%-20s %s%n", each.name(), each.summary()));
        }
        call.print(array, text.toString());
    }
}
