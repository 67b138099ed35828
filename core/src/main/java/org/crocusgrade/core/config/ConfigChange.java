package org.crocusgrade.core.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.crocusgrade.core.config.FleetRules.NamedService;
import org.crocusgrade.core.id.ServiceId;

/**
 * The change that one publish makes.
 *
 * @param put the text of each added or replaced file, by service; each file is valid by itself
 * @param remove the services to remove
 * @param names the names of the added or replaced files, by service, for messages
 */
public record ConfigChange(
        Map<ServiceId, String> put, Set<ServiceId> remove, Map<ServiceId, String> names) {
    /** Copies the collections. */
    public ConfigChange {
        put = Map.copyOf(put);
        remove = Set.copyOf(remove);
        names = Map.copyOf(names);
    }

    /**
     * Validates each file by itself, and checks that no two files describe the same service.
     *
     * @param texts the text of each file, by file name
     * @throws ConfigException with the problems of every file
     */
    public static ConfigChange of(Map<String, String> texts, Set<ServiceId> remove)
            throws ConfigException {
        List<ConfigProblem> problems = new ArrayList<>();
        Map<ServiceId, String> put = new TreeMap<>();
        Map<ServiceId, String> names = new HashMap<>();
        for (Map.Entry<String, String> file : texts.entrySet()) {
            try {
                ServiceId service = check(file.getKey(), file.getValue());
                put.put(service, file.getValue());
                String before = names.putIfAbsent(service, file.getKey());
                if (before != null) {
                    problems.add(duplicateService(file.getKey(), service, before));
                }
            } catch (ConfigException e) {
                problems.addAll(e.problems());
            }
        }
        if (!problems.isEmpty()) {
            throw new ConfigException(problems);
        }
        return new ConfigChange(put, remove, names);
    }

    private static ServiceId check(String file, String text) throws ConfigException {
        if (FleetPolicyReader.isPolicy(text)) {
            FleetPolicyReader.read(file, text);
            return FleetPolicy.KEY;
        }
        return ServiceFileReader.read(file, text).service();
    }

    /** Returns the services that the change adds, replaces or removes. */
    public Set<ServiceId> touched() {
        Set<ServiceId> all = new TreeSet<>(put.keySet());
        all.addAll(remove);
        return all;
    }

    /** Returns the file id of each service after the change is applied to a head. */
    public Map<ServiceId, BlobId> applyTo(ConfigHead head) {
        Map<ServiceId, BlobId> services = new TreeMap<>(head.services());
        services.keySet().removeAll(remove);
        put.forEach((service, text) -> services.put(service, BlobId.of(text)));
        return services;
    }

    /** Returns the text of each added or replaced file, by its id. */
    public Map<BlobId, String> files() {
        Map<BlobId, String> files = new TreeMap<>();
        put.values().forEach(text -> files.put(BlobId.of(text), text));
        return files;
    }

    /**
     * Checks the configuration that results from applying the change to a bundle. Messages name
     * changed files as the operator did, and unchanged ones as {@code published SERVICE}.
     *
     * @return the warnings
     * @throws ConfigException if the resulting configuration is invalid
     */
    public List<ConfigProblem> check(ConfigBundle base) throws ConfigException {
        List<NamedService> named = new ArrayList<>();
        for (ServiceId service : base.head().services().keySet()) {
            if (!touched().contains(service) && !service.equals(FleetPolicy.KEY)) {
                ServiceConfig config = base.fleet().services().get(service);
                named.add(new NamedService("published " + service, base.text(service), config));
            }
        }
        for (Map.Entry<ServiceId, String> file : new TreeMap<>(put).entrySet()) {
            if (file.getKey().equals(FleetPolicy.KEY)) {
                continue;
            }
            String name = names.getOrDefault(file.getKey(), file.getKey().value());
            ServiceConfig config = ServiceFileReader.read(name, file.getValue());
            named.add(new NamedService(name, file.getValue(), config));
        }
        return FleetRules.check(named);
    }

    private static ConfigProblem duplicateService(String file, ServiceId service, String before) {
        ConfigMessage m = ConfigMessage.DUPLICATE_SERVICE;
        return new ConfigProblem(
                m, m.text(service, before), file, 0, "[service] name", "each service once");
    }
}
