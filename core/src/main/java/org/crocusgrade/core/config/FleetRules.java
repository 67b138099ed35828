package org.crocusgrade.core.config;

import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.ServiceId;

/** Validates the files of all services against each other. */
public final class FleetRules {
    /** Maximum number of services of a deployment. */
    public static final int MAX_SERVICES = 1_000;

    private final List<NamedService> services;
    private final Problems problems = new Problems("");

    private FleetRules(List<NamedService> services) {
        this.services = List.copyOf(services);
    }

    /**
     * A service and the file that describes it.
     *
     * @param file the file's name, for messages
     * @param text the file's text, used to find the line of a problem
     * @param config the parsed file, valid by itself
     */
    public record NamedService(String file, String text, ServiceConfig config) {}

    /**
     * Checks all services together. If two services conflict, the problem is reported for the later
     * one.
     *
     * @return the warnings
     * @throws ConfigException with every problem, if at least one is an error
     */
    public static List<ConfigProblem> check(List<NamedService> services) throws ConfigException {
        FleetRules rules = new FleetRules(services);
        rules.checkCount();
        rules.checkNames();
        rules.checkPools();
        rules.checkSizes();
        rules.problems.check();
        return rules.problems.list();
    }

    private void checkCount() {
        if (services.size() > MAX_SERVICES) {
            problems.add(
                    ConfigMessage.TOO_MANY_SERVICES,
                    0,
                    "",
                    "at most " + MAX_SERVICES,
                    services.size());
        }
    }

    private void checkNames() {
        Map<ServiceId, String> files = new HashMap<>();
        for (NamedService s : services) {
            String before = files.putIfAbsent(s.config().service(), s.file());
            if (before != null) {
                add(
                        s,
                        ConfigMessage.DUPLICATE_SERVICE,
                        "service",
                        "name",
                        "each service once",
                        s.config().service(),
                        before);
            }
        }
    }

    private void checkPools() {
        Map<PoolId, ServiceId> poolServices = new HashMap<>();
        for (NamedService s : services) {
            ServiceId before = poolServices.putIfAbsent(s.config().pool(), s.config().service());
            if (before != null && !before.equals(s.config().service())) {
                add(
                        s,
                        ConfigMessage.POOL_TAKEN,
                        "service",
                        "pool",
                        "a pool of the service's own",
                        s.config().pool(),
                        before);
            }
        }
        Set<PoolId> pools = new HashSet<>(poolServices.keySet());
        for (NamedService s : services) {
            for (PoolId lender : s.config().capacity().borrowFrom()) {
                if (!pools.contains(lender)) {
                    add(
                            s,
                            ConfigMessage.UNKNOWN_POOL,
                            "capacity",
                            "borrow-from",
                            String.join(", ", pools.stream().sorted().map(PoolId::value).toList()),
                            lender);
                }
            }
        }
    }

    private void checkSizes() {
        int usual = 0;
        for (NamedService s : services) {
            usual += s.config().capacity().usualWorkers();
        }
        for (NamedService s : services) {
            int max = s.config().capacity().maxWorkers();
            if (max > usual) {
                add(s, ConfigMessage.MAX_OVER_FLEET, "capacity", "max-workers", "", max, usual);
            }
        }
    }

    private void add(
            NamedService s,
            ConfigMessage message,
            String section,
            String key,
            String accepted,
            Object... details) {
        problems.addFor(
                s.file(),
                line(s, section, key),
                message,
                "[" + section + "] " + key,
                accepted,
                details);
    }

    private static int line(NamedService s, String section, String key) {
        try {
            byte[] content = s.text().getBytes(StandardCharsets.UTF_8);
            return IniDocument.read(content, new Problems(s.file())).line(section, key);
        } catch (ConfigException e) {
            return 0;
        }
    }
}
