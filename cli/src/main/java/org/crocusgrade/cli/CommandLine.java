package org.crocusgrade.cli;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Argument;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparsers;
import org.crocusgrade.core.config.ValueParser;

/**
 * Builds an argument parser from the list of commands, and parses arguments into a command with its
 * option values.
 */
final class CommandLine {
    private static final String COMMAND = "command name";
    private static final int WIDTH = 100;

    private final Map<String, Command> commands = new LinkedHashMap<>();
    private final ArgumentParser parser;

    /** A command with the values of its options and arguments, by name. */
    record Parsed(Command command, Map<String, Object> values) {}

    CommandLine(List<Command> all) {
        parser =
                ArgumentParsers.newFor("crocusgrade")
                        .terminalWidthDetection(false)
                        .defaultFormatWidth(WIDTH)
                        .build()
                        .defaultHelp(false)
                        .description(
                                "Shows the state of a crocusgrade deployment and publishes its"
                                        + " configuration.")
                        .epilog(
                                "Exit codes: 0 done, 1 refused, 2 usage, 3 the platform or a daemon"
                                        + " was not reached.");
        Subparsers root = parser.addSubparsers().title("commands").metavar("COMMAND");
        Map<String, Subparsers> groups = new HashMap<>();
        for (Command command : all) {
            commands.put(command.name(), command);
            String[] words = command.name().split(" ");
            Subparsers target = words.length == 1 ? root : group(root, groups, words[0]);
            ArgumentParser subparser =
                    target.addParser(words[words.length - 1], true)
                            .help(command.help())
                            .description(command.help())
                            .setDefault(COMMAND, command.name());
            options(command).forEach(option -> add(subparser, option));
        }
    }

    /** Parses the arguments of the process; throws if they are invalid or request help. */
    Parsed parse(String... args) throws ArgumentParserException, CliException {
        Namespace parsed = parser.parseArgs(args);
        Command command = commands.get(parsed.getString(COMMAND));
        Map<String, Object> values = new HashMap<>();
        for (Option<?> option : options(command)) {
            Object value = value(option, parsed);
            if (value != null) {
                values.put(option.name(), value);
            }
        }
        return new Parsed(command, values);
    }

    /** Returns the usage and the error, as printed for invalid arguments. */
    String usage(ArgumentParserException e) {
        StringWriter text = new StringWriter();
        e.getParser().handleError(e, new PrintWriter(text, true));
        return text.toString();
    }

    private static Subparsers group(Subparsers root, Map<String, Subparsers> groups, String word) {
        return groups.computeIfAbsent(
                word,
                w ->
                        root.addParser(w, true)
                                .help(w + " COMMAND; see " + w + " -h")
                                .addSubparsers()
                                .title("commands")
                                .metavar("COMMAND"));
    }

    private static List<Option<?>> options(Command command) {
        List<Option<?>> all = new ArrayList<>(command.options());
        all.addAll(CommonOptions.all());
        return all;
    }

    private static void add(ArgumentParser subparser, Option<?> option) {
        Argument argument = subparser.addArgument(option.name()).help(help(option));
        boolean isOption = option.name().startsWith("-");
        switch (option.arity()) {
            case FLAG -> argument.action(Arguments.storeTrue());
            case MANY -> {
                argument.nargs("+");
                if (isOption) {
                    argument.required(true);
                }
            }
            case ANY -> argument.nargs("*");
            case REQUIRED -> {
                if (isOption) {
                    argument.required(true);
                }
            }
            default -> {
                if (!isOption) {
                    argument.nargs("?");
                }
            }
        }
    }

    private static String help(Option<?> option) {
        if (option.arity() == Option.Arity.FLAG) {
            return option.help();
        }
        return (option.help() + ": " + option.parser().accepted()).replace("%", "%%");
    }

    private static Object value(Option<?> option, Namespace parsed) throws CliException {
        Object raw = parsed.get(option.name().replaceFirst("^-+", "").replace('-', '_'));
        if (raw == null) {
            return option.defaultValue();
        }
        if (raw instanceof Boolean flag) {
            return flag;
        }
        if (raw instanceof List<?> list) {
            return values(option.name(), list, option.parser());
        }
        return CommonOptions.parse(option.name(), raw.toString(), option.parser());
    }

    private static <T> List<T> values(String name, List<?> raw, ValueParser<T> elementParser)
            throws CliException {
        List<T> values = new ArrayList<>();
        for (Object each : raw) {
            values.add(CommonOptions.parse(name, each.toString(), elementParser));
        }
        return values;
    }
}
