package org.crocusgrade.cli;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.UUID;
import org.crocusgrade.core.config.ConfigBundle;
import org.crocusgrade.core.config.ConfigChange;
import org.crocusgrade.core.config.ConfigDiff;
import org.crocusgrade.core.config.ConfigException;
import org.crocusgrade.core.config.Publisher;
import org.crocusgrade.core.config.ValueParsers;
import org.crocusgrade.core.id.PublishId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.port.Clock;

/**
 * {@code publish FILE...}: validates and publishes service files. It is the only operators' command
 * that writes, and it writes only to the platform's key-value service.
 */
final class PublishCommand implements Command {
    private static final Option<Path> FILES =
            Option.any("FILE", ArgumentValueParsers.file(), "the service files to publish");
    private static final Option<List<ServiceId>> REMOVE =
            Option.of(
                    "--remove",
                    ValueParsers.list(ValueParsers.id(ServiceId::new), 100),
                    List.of(),
                    "services to remove");
    private static final Option<Boolean> NO_WAIT =
            Option.flag("--no-wait", "do not wait until the version is in force everywhere");
    private static final Option<Boolean> DRY_RUN =
            Option.flag("--dry-run", "show the difference and write nothing");

    @Override
    public String name() {
        return "publish";
    }

    @Override
    public String help() {
        return "Checks service files, shows what they change, and publishes them.";
    }

    @Override
    public List<Option<?>> options() {
        return List.of(
                FILES, REMOVE, NO_WAIT, DRY_RUN, CommonOptions.TIMEOUT, CommonOptions.PLATFORM);
    }

    @Override
    public ExitCode run(Invocation invocation) throws CliException {
        Set<ServiceId> remove = new HashSet<>(invocation.get(REMOVE));
        if (remove.isEmpty() && invocation.all(FILES).isEmpty()) {
            throw new CliException(
                    CliMessage.BAD_ARGUMENT, "FILE", "", "a file, or --remove SERVICE");
        }
        ConfigChange change = ServiceFiles.read(invocation.all(FILES), remove);
        try (PlatformAccess platform = invocation.platform()) {
            return publish(invocation, platform, change);
        }
    }

    private ExitCode publish(Invocation invocation, PlatformAccess platform, ConfigChange change)
            throws CliException {
        Publisher publisher = new Publisher(platform.store(), Clock.system());
        ConfigBundle base = PlatformCalls.await(platform, publisher.current());
        requireKnown(change, base);
        List<ConfigDiff.Line> diff = difference(invocation, base, change);
        ObjectNode node = Invocation.JSON.createObjectNode();
        node.set("difference", json(diff));
        if (!invocation.json()) {
            show(invocation, base, diff);
        }
        boolean same = change.applyTo(base.head()).equals(base.head().services());
        if (same || invocation.get(DRY_RUN)) {
            node.put("version", base.head().version().value()).put("changed", false);
            invocation.print(node, "nothing published; version " + base.head().version().value());
            return ExitCode.DONE;
        }
        PublishId id = new PublishId(UUID.randomUUID().toString());
        Publisher.Result result =
                PlatformCalls.await(platform, publisher.publish(id, change, base.head()));
        node.put("version", result.version().value()).put("changed", result.changed());
        node.put("publish", id.value());
        if (invocation.get(NO_WAIT)) {
            invocation.print(node, "published: version " + result.version().value());
            return ExitCode.DONE;
        }
        ActivationWaiter.Activation activation =
                new ActivationWaiter(platform)
                        .await(result.version(), invocation.get(CommonOptions.TIMEOUT));
        node.put("inForceAt", activation.count()).put("seconds", activation.seconds());
        invocation.print(
                node,
                "published: version %d, in force at %d daemons after %.1f s"
                        .formatted(
                                result.version().value(),
                                activation.count(),
                                activation.seconds()));
        return ExitCode.DONE;
    }

    private static void requireKnown(ConfigChange change, ConfigBundle base) throws CliException {
        for (ServiceId service : change.remove()) {
            if (base.head().blob(service).isEmpty()) {
                throw new CliException(
                        CliMessage.NO_SUCH_SERVICE, service, base.head().services().keySet());
            }
        }
    }

    private static List<ConfigDiff.Line> difference(
            Invocation invocation, ConfigBundle base, ConfigChange change) throws CliException {
        try {
            change.check(base).forEach(w -> invocation.err().println("warning: " + w));
            return ConfigDiff.between(base, Publisher.preview(base, change));
        } catch (ConfigException e) {
            throw new CliException(e.problems());
        }
    }

    /** Prints each changed value; an added or removed service is printed as one line. */
    private static void show(Invocation invocation, ConfigBundle base, List<ConfigDiff.Line> diff) {
        Map<ServiceId, List<ConfigDiff.Line>> services = new TreeMap<>();
        diff.forEach(l -> services.computeIfAbsent(l.service(), s -> new ArrayList<>()).add(l));
        services.forEach(
                (service, lines) -> {
                    boolean isNew = base.head().blob(service).isEmpty();
                    boolean isRemoved = lines.stream().allMatch(l -> l.after() == null);
                    if (isNew || isRemoved) {
                        String sign = isNew ? "+ " : "- ";
                        invocation.out().println(sign + service + ": " + lines.size() + " values");
                        return;
                    }
                    lines.forEach(l -> invocation.out().println(text(l)));
                });
    }

    private static String text(ConfigDiff.Line line) {
        String before = line.before() == null ? "(none)" : line.before();
        String after = line.after() == null ? "(none)" : line.after();
        return line.service() + " " + line.key() + ": " + before + " -> " + after;
    }

    private static ArrayNode json(List<ConfigDiff.Line> diff) {
        ArrayNode array = Invocation.JSON.createArrayNode();
        for (ConfigDiff.Line line : diff) {
            array.addObject()
                    .put("service", line.service().value())
                    .put("key", line.key())
                    .put("before", line.before())
                    .put("after", line.after());
        }
        return array;
    }
}
