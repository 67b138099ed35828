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
 * What one publish changes.
 *
 * @param put the new files by service, checked one by one
 * @param remove the services that go
 * @param names the new files' names by service, for messages
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
     * Checks files one by one and between each other.
     *
     * @param texts the files' texts by the files' names
     * @throws ConfigException with the faults of every file
     */
    public static ConfigChange of(Map<String, String> texts, Set<ServiceId> remove)
            throws ConfigException {
        List<ConfigProblem> problems = new ArrayList<>();
        Map<ServiceId, String> put = new TreeMap<>();
        Map<ServiceId, String> names = new HashMap<>();
        for (Map.Entry<String, String> file : texts.entrySet()) {
            try {
                ServiceId described = check(file.getKey(), file.getValue());
                put.put(described, file.getValue());
                String before = names.putIfAbsent(described, file.getKey());
                if (before != null) {
                    problems.add(twice(file.getKey(), described, before));
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

    /** Returns the services that the change puts or removes. */
    public Set<ServiceId> touched() {
        Set<ServiceId> all = new TreeSet<>(put.keySet());
        all.addAll(remove);
        return all;
    }

    /** Returns the files of a head with the change applied. */
    public Map<ServiceId, BlobId> applyTo(ConfigHead head) {
        Map<ServiceId, BlobId> services = new TreeMap<>(head.services());
        services.keySet().removeAll(remove);
        put.forEach((service, text) -> services.put(service, BlobId.of(text)));
        return services;
    }

    /** Returns the new files by their ids. */
    public Map<BlobId, String> files() {
        Map<BlobId, String> files = new TreeMap<>();
        put.values().forEach(text -> files.put(BlobId.of(text), text));
        return files;
    }

    /**
     * Checks what the change makes of a head, with the files' own names in the messages.
     *
     * @return the warnings
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

    private static ConfigProblem twice(String file, ServiceId service, String before) {
        ConfigMessage m = ConfigMessage.DUPLICATE_SERVICE;
        return new ConfigProblem(
                m, m.text(service, before), file, 0, "[service] name", "each service once");
    }
}
