package org.crocusgrade.cli;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.crocusgrade.core.config.ConfigException;
import org.crocusgrade.core.config.IniDocument;
import org.crocusgrade.core.config.Problems;
import org.crocusgrade.core.config.ServiceFileReader;
import org.crocusgrade.core.config.ValueException;
import org.crocusgrade.core.config.ValueParser;
import org.crocusgrade.core.config.ValueParsers;

/** The options of every command, and those that several commands share. */
final class CommonOptions {
    static final Option<Boolean> JSON = Option.flag("--json", "print JSON");
    static final Option<InetSocketAddress> PLATFORM =
            Option.of(
                    "--platform",
                    ValueParsers.address(),
                    null,
                    "the address of the platform's key-value service");
    static final Option<Duration> TIMEOUT =
            Option.of(
                    "--timeout",
                    ValueParsers.duration(Duration.ofMillis(100), Duration.ofMinutes(5)),
                    Duration.ofSeconds(30),
                    "the maximum time to wait");

    static final String PLATFORM_VARIABLE = "CROCUSGRADE_PLATFORM";
    static final String CLIENT_VARIABLE = "CROCUSGRADE_CLIENT";

    private CommonOptions() {}

    /** Returns the options of every command. */
    static List<Option<?>> all() {
        return List.of(JSON);
    }

    /**
     * Returns the platform's address: from the option, else from the environment, else from the
     * client file that the environment names.
     */
    static InetSocketAddress platform(Invocation invocation) throws CliException {
        InetSocketAddress given = invocation.get(PLATFORM);
        if (given != null) {
            return given;
        }
        String variable = invocation.environment(PLATFORM_VARIABLE);
        if (variable != null) {
            return parse(PLATFORM_VARIABLE, variable, ValueParsers.address());
        }
        String file = invocation.environment(CLIENT_VARIABLE);
        if (file != null) {
            return fromFile(Path.of(file));
        }
        throw new CliException(CliMessage.NO_PLATFORM);
    }

    static <T> T parse(String name, String text, ValueParser<T> parser) throws CliException {
        try {
            return parser.parse(text);
        } catch (ValueException e) {
            throw new CliException(
                    CliMessage.BAD_ARGUMENT, name, parser.shown(text), parser.accepted());
        }
    }

    /**
     * Reads at most one byte more than the maximum size of a service file, so that callers detect
     * larger files without reading them whole.
     */
    static byte[] readFile(Path file) throws CliException {
        try (var in = Files.newInputStream(file)) {
            return in.readNBytes(ServiceFileReader.MAX_FILE_BYTES + 1);
        } catch (IOException e) {
            throw new CliException(CliMessage.UNREADABLE_FILE, file, reason(e));
        }
    }

    private static String reason(IOException e) {
        return e instanceof java.nio.file.NoSuchFileException ? "no such file" : e.toString();
    }

    private static InetSocketAddress fromFile(Path file) throws CliException {
        Problems problems = new Problems(file.toString());
        try {
            IniDocument doc = IniDocument.read(readFile(file), problems);
            InetSocketAddress address =
                    doc.required("platform", "service", ValueParsers.address(), problems);
            doc.rejectUnknown(problems);
            problems.check();
            return address;
        } catch (ConfigException e) {
            throw new CliException(e.problems());
        }
    }
}
