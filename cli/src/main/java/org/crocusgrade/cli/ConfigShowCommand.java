package org.crocusgrade.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.TreeSet;
import org.crocusgrade.core.config.ConfigBundle;
import org.crocusgrade.core.config.Publisher;
import org.crocusgrade.core.config.ServiceConfig;
import org.crocusgrade.core.config.ValueParsers;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.port.Clock;

/**
 * {@code config show [SERVICE]}: prints the configuration stored on the platform, or one service's
 * file.
 */
final class ConfigShowCommand implements Command {
    private static final Option<ServiceId> SERVICE =
            Option.of(
                    "SERVICE",
                    ValueParsers.id(ServiceId::new),
                    null,
                    "the service whose file to show");

    @Override
    public String name() {
        return "config show";
    }

    @Override
    public String help() {
        return "Shows the published configuration, or one service's file.";
    }

    @Override
    public List<Option<?>> options() {
        return List.of(SERVICE, CommonOptions.PLATFORM);
    }

    @Override
    public ExitCode run(Invocation invocation) throws CliException {
        try (PlatformAccess platform = invocation.platform()) {
            Publisher publisher = new Publisher(platform.store(), Clock.system());
            ConfigBundle bundle = PlatformCalls.await(platform, publisher.current());
            ServiceId service = invocation.get(SERVICE);
            if (service == null) {
                invocation.print(json(bundle), table(bundle));
                return ExitCode.DONE;
            }
            String text = bundle.text(service);
            if (text == null) {
                throw new CliException(
                        CliMessage.NO_SUCH_SERVICE, service, bundle.head().services().keySet());
            }
            ObjectNode node = Invocation.JSON.createObjectNode();
            node.put("service", service.value()).put("file", text);
            invocation.print(node, text);
            return ExitCode.DONE;
        }
    }

    private static String table(ConfigBundle bundle) {
        Table table =
                new Table("SERVICE", "CLASS", "DEADLINE", "MIN", "USUAL", "MAX", "BUDGET", "SPARE");
        for (ServiceId id : new TreeSet<>(bundle.fleet().services().keySet())) {
            ServiceConfig c = bundle.fleet().services().get(id);
            table.row(
                    id,
                    c.serviceClass().word,
                    ValueParsers.show(c.deadline()),
                    c.capacity().minWorkers(),
                    c.capacity().usualWorkers(),
                    c.capacity().maxWorkers(),
                    c.budget().maxUnavailable(),
                    c.capacity().spare() ? "yes" : "no");
        }
        return "version %d, publish %s%n%s"
                .formatted(bundle.head().version().value(), bundle.head().publish(), table);
    }

    private static ObjectNode json(ConfigBundle bundle) {
        ObjectNode node = Invocation.JSON.createObjectNode();
        node.put("version", bundle.head().version().value());
        node.put("publish", bundle.head().publish().value());
        ObjectNode services = node.putObject("services");
        for (ServiceId id : new TreeSet<>(bundle.fleet().services().keySet())) {
            ServiceConfig c = bundle.fleet().services().get(id);
            services.putObject(id.value())
                    .put("class", c.serviceClass().word)
                    .put("deadline", ValueParsers.show(c.deadline()))
                    .put("minWorkers", c.capacity().minWorkers())
                    .put("usualWorkers", c.capacity().usualWorkers())
                    .put("maxWorkers", c.capacity().maxWorkers())
                    .put("maxUnavailable", c.budget().maxUnavailable())
                    .put("spare", c.capacity().spare());
        }
        return node;
    }
}
