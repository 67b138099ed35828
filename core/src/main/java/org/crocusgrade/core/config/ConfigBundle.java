package org.crocusgrade.core.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import org.crocusgrade.core.config.FleetRules.NamedService;
import org.crocusgrade.core.id.ServiceId;

/**
 * One version of the configuration, whole: the head, the files that it names, and what they say.
 * Daemons replace it whole and hand it to each other; it is never changed.
 */
public final class ConfigBundle {
    /** The bundle before the first publish. */
    public static final ConfigBundle EMPTY =
            new ConfigBundle(ConfigHead.NONE, Map.of(), Map.of(), FleetConfig.EMPTY);

    private final ConfigHead head;
    private final Map<BlobId, String> files;
    private final Map<BlobId, ServiceConfig> parsed;
    private final FleetConfig fleet;

    private ConfigBundle(
            ConfigHead head,
            Map<BlobId, String> files,
            Map<BlobId, ServiceConfig> parsed,
            FleetConfig fleet) {
        this.head = head;
        this.files = Map.copyOf(files);
        this.parsed = Map.copyOf(parsed);
        this.fleet = fleet;
    }

    /**
     * Puts a version together and checks it whole.
     *
     * @param added files that the earlier bundle lacks
     * @param earlier a bundle whose files are taken over without reading them again
     * @throws ConfigException if a file is missing, altered or refused, or the files contradict
     */
    public static ConfigBundle assemble(
            ConfigHead head, Map<BlobId, String> added, ConfigBundle earlier)
            throws ConfigException {
        Map<BlobId, String> files = new HashMap<>();
        Map<BlobId, ServiceConfig> parsed = new HashMap<>();
        Map<ServiceId, ServiceConfig> services = new HashMap<>();
        List<NamedService> named = new ArrayList<>();
        FleetPolicy policy = FleetPolicy.DEFAULT;
        for (Map.Entry<ServiceId, BlobId> e : head.services().entrySet()) {
            BlobId blob = e.getValue();
            String text = earlier.files.getOrDefault(blob, added.get(blob));
            if (e.getKey().equals(FleetPolicy.KEY)) {
                requireUnaltered(blob, text, e.getKey());
                policy = FleetPolicyReader.read(e.getKey().value(), text);
                files.put(blob, text);
                continue;
            }
            ServiceConfig config = earlier.parsed.get(blob);
            if (config == null) {
                config = parse(blob, text, e.getKey());
            }
            if (!config.service().equals(e.getKey())) {
                throw altered(e.getKey());
            }
            files.put(blob, text);
            parsed.put(blob, config);
            services.put(e.getKey(), config);
            named.add(new NamedService(e.getKey().value(), text, config));
        }
        FleetRules.check(named);
        FleetConfig fleet = new FleetConfig(head.version(), head.publish(), services, policy);
        return new ConfigBundle(head, files, parsed, fleet);
    }

    /** Returns the head. */
    public ConfigHead head() {
        return head;
    }

    /** Returns what the files say. */
    public FleetConfig fleet() {
        return fleet;
    }

    /** Returns the text of a service's file, or null if there is no such service. */
    public String text(ServiceId service) {
        BlobId blob = head.services().get(service);
        return blob == null ? null : files.get(blob);
    }

    /** Returns the files that a holder of an earlier head lacks. */
    public Map<BlobId, String> filesMissingFrom(ConfigHead earlier) {
        Map<BlobId, String> missing = new HashMap<>(files);
        missing.keySet().removeAll(earlier.services().values());
        return missing;
    }

    /** Returns the files that another head names and this bundle lacks. */
    public Set<BlobId> lacks(ConfigHead other) {
        Set<BlobId> lacking = new TreeSet<>(other.services().values());
        lacking.removeAll(files.keySet());
        return lacking;
    }

    /** Returns whether this version is higher than the other's. */
    public boolean newerThan(ConfigBundle other) {
        return head.version().compareTo(other.head.version()) > 0;
    }

    private static ServiceConfig parse(BlobId blob, String text, ServiceId service)
            throws ConfigException {
        requireUnaltered(blob, text, service);
        return ServiceFileReader.read(service.value(), text);
    }

    private static void requireUnaltered(BlobId blob, String text, ServiceId service)
            throws ConfigException {
        if (text == null || !Objects.equals(BlobId.of(text), blob)) {
            throw altered(service);
        }
    }

    private static ConfigException altered(ServiceId service) {
        ConfigMessage message = ConfigMessage.DIGEST_MISMATCH;
        return new ConfigException(
                List.of(new ConfigProblem(message, message.text(), service.value(), 0, "", "")));
    }
}
