package org.crocusgrade.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.List;
import java.util.Set;
import org.crocusgrade.core.config.ConfigBundle;
import org.crocusgrade.core.config.ConfigChange;
import org.crocusgrade.core.config.ConfigException;
import org.crocusgrade.core.config.ConfigProblem;

/**
 * {@code validate FILE...}: checks service files, individually and together, without network
 * access.
 */
final class ValidateCommand implements Command {
    private static final Option<Path> FILES =
            Option.many("FILE", ArgumentValueParsers.file(), "the service files of a deployment");

    @Override
    public String name() {
        return "validate";
    }

    @Override
    public String help() {
        return "Checks service files, individually and together; sends nothing.";
    }

    @Override
    public List<Option<?>> options() {
        return List.of(FILES);
    }

    @Override
    public ExitCode run(Invocation invocation) throws CliException {
        ConfigChange change = ServiceFiles.read(invocation.all(FILES), Set.of());
        List<ConfigProblem> warnings;
        try {
            warnings = change.check(ConfigBundle.EMPTY);
        } catch (ConfigException e) {
            throw new CliException(e.problems());
        }
        ObjectNode node = Invocation.JSON.createObjectNode();
        node.put("services", change.put().size());
        node.set("problems", ServiceFiles.json(warnings));
        warnings.forEach(w -> invocation.err().println("warning: " + w));
        invocation.print(node, "valid: " + change.put().size() + " service files");
        return ExitCode.DONE;
    }
}
