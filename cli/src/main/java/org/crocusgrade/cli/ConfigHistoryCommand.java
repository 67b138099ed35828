package org.crocusgrade.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.stream.Collectors;
import org.crocusgrade.core.config.ConfigBundle;
import org.crocusgrade.core.config.PublishRecord;
import org.crocusgrade.core.config.Publisher;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.port.Clock;

/** {@code config history}: prints the latest publishes, newest first. */
final class ConfigHistoryCommand implements Command {
    @Override
    public String name() {
        return "config history";
    }

    @Override
    public String help() {
        return "Shows the latest publishes, newest first.";
    }

    @Override
    public List<Option<?>> options() {
        return List.of(CommonOptions.PLATFORM);
    }

    @Override
    public ExitCode run(Invocation invocation) throws CliException {
        try (PlatformAccess platform = invocation.platform()) {
            Publisher publisher = new Publisher(platform.store(), Clock.system());
            ConfigBundle bundle = PlatformCalls.await(platform, publisher.current());
            ArrayNode array = Invocation.JSON.createArrayNode();
            Table table = new Table("VERSION", "AT", "PUBLISH", "CHANGED");
            for (PublishRecord r : bundle.head().history()) {
                String changed =
                        r.changed().stream().map(ServiceId::value).collect(Collectors.joining(" "));
                table.row(r.version().value(), r.at(), r.publish(), changed);
                ObjectNode node = array.addObject();
                node.put("version", r.version().value());
                node.put("at", r.at().toString());
                node.put("publish", r.publish().value());
                ArrayNode services = node.putArray("changed");
                r.changed().forEach(s -> services.add(s.value()));
            }
            invocation.print(array, table.toString());
            return ExitCode.DONE;
        }
    }
}
