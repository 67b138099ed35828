package org.crocusgrade.cli;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.util.List;
import java.util.Map;
import java.util.function.Function;

/** One run of a command: its option values, output streams and environment. */
public final class Invocation {
    /** The JSON mapper shared by all commands. */
    public static final ObjectMapper JSON = new ObjectMapper();

    private final Map<String, Object> values;
    private final PrintStream out;
    private final PrintStream err;
    private final Function<String, String> environment;
    private final PlatformFactory platforms;

    Invocation(
            Map<String, Object> values,
            PrintStream out,
            PrintStream err,
            Function<String, String> environment,
            PlatformFactory platforms) {
        this.values = Map.copyOf(values);
        this.out = out;
        this.err = err;
        this.environment = environment;
        this.platforms = platforms;
    }

    /** Returns an option's value, or null if it was not given and has no default. */
    @SuppressWarnings("unchecked")
    public <T> T get(Option<T> option) {
        return (T) values.get(option.name());
    }

    /** Returns the values of an option that takes several; empty if it was not given. */
    @SuppressWarnings("unchecked")
    public <T> List<T> all(Option<T> option) {
        return (List<T>) values.getOrDefault(option.name(), List.of());
    }

    /** Returns whether the output is to be JSON. */
    public boolean json() {
        return get(CommonOptions.JSON);
    }

    public PrintStream out() {
        return out;
    }

    public PrintStream err() {
        return err;
    }

    /**
     * Prints a result to the standard output: the JSON if {@code --json} was given, else the text.
     */
    public void print(JsonNode json, String text) {
        if (json()) {
            out.println(json.toPrettyString());
        } else if (!text.isEmpty()) {
            out.println(text.stripTrailing());
        }
    }

    /** Returns the value of an environment variable, or null. */
    String environment(String name) {
        return environment.apply(name);
    }

    /** Opens access to the platform whose address the options or the environment give. */
    public PlatformAccess platform() throws CliException {
        return platforms.open(CommonOptions.platform(this));
    }
}
