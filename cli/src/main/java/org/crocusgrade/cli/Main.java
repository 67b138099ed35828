package org.crocusgrade.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.List;
import java.util.function.Function;
import net.sourceforge.argparse4j.helper.HelpScreenException;
import net.sourceforge.argparse4j.inf.ArgumentParserException;

/** Entry point of the operators' command line. */
public final class Main {
    private final List<Command> commands;
    private final PrintStream out;
    private final PrintStream err;
    private final Function<String, String> environment;
    private final PlatformFactory platforms;

    Main(
            List<Command> commands,
            PrintStream out,
            PrintStream err,
            Function<String, String> environment,
            PlatformFactory platforms) {
        this.commands = List.copyOf(commands);
        this.out = out;
        this.err = err;
        this.environment = environment;
        this.platforms = platforms;
    }

    /** Runs one command and exits with its exit code. */
    public static void main(String[] args) {
        Main main =
                new Main(
                        Commands.ALL,
                        System.out,
                        System.err,
                        System::getenv,
                        HttpPlatformAccess::new);
        System.exit(main.run(args).code);
    }

    ExitCode run(String... args) {
        CommandLine line = new CommandLine(commands);
        CommandLine.Parsed parsed;
        try {
            parsed = line.parse(args);
        } catch (HelpScreenException e) {
            return ExitCode.DONE;
        } catch (ArgumentParserException e) {
            err.print(line.usage(e));
            return ExitCode.USAGE;
        } catch (CliException e) {
            err.println("crocusgrade: " + e.getMessage());
            return e.reason().exit;
        }
        Invocation invocation = new Invocation(parsed.values(), out, err, environment, platforms);
        try {
            return parsed.command().run(invocation);
        } catch (CliException e) {
            report(invocation, e);
            return e.reason().exit;
        }
    }

    private void report(Invocation invocation, CliException e) {
        if (invocation.json()) {
            ObjectNode node = Invocation.JSON.createObjectNode();
            node.put("error", e.reason().code);
            node.put("message", e.getMessage());
            node.set("problems", ServiceFiles.json(e.problems()));
            out.println(node.toPrettyString());
        }
        e.problems().forEach(p -> err.println(p.toString()));
        err.println("crocusgrade: " + e.getMessage());
    }
}
