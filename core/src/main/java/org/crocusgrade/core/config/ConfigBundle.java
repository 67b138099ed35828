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
 * One complete, immutable version of the configuration: the head, the text of each file that the
 * head lists, and the parsed contents. Daemons replace a bundle only as a whole and send it to each
 * other.
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
     * Assembles a version from its files, and validates it as a whole.
     *
     * @param added files that the earlier bundle does not have
     * @param earlier a bundle whose files are reused without parsing them again
     * @throws ConfigException if a file is missing, does not match its digest or is invalid, or if
     *     the files contradict each other
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
                requireDigest(blob, text, e.getKey());
                policy = FleetPolicyReader.read(e.getKey().value(), text);
                files.put(blob, text);
                continue;
            }
            ServiceConfig config = earlier.parsed.get(blob);
            if (config == null) {
                config = parse(blob, text, e.getKey());
            }
            if (!config.service().equals(e.getKey())) {
                throw digestMismatch(e.getKey());
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

    public ConfigHead head() {
        return head;
    }

    /** Returns the parsed contents of the files. */
    public FleetConfig fleet() {
        return fleet;
    }

    /** Returns the text of a service's file, or null if there is no such service. */
    public String text(ServiceId service) {
        BlobId blob = head.services().get(service);
        return blob == null ? null : files.get(blob);
    }

    /** Returns the files of this bundle that an earlier head does not list. */
    public Map<BlobId, String> filesMissingFrom(ConfigHead earlier) {
        Map<BlobId, String> missing = new HashMap<>(files);
        missing.keySet().removeAll(earlier.services().values());
        return missing;
    }

    /** Returns the ids of the files that another head lists and this bundle does not have. */
    public Set<BlobId> missingFileIds(ConfigHead other) {
        Set<BlobId> missingIds = new TreeSet<>(other.services().values());
        missingIds.removeAll(files.keySet());
        return missingIds;
    }

    /** Returns whether this bundle has a higher version than the other. */
    public boolean newerThan(ConfigBundle other) {
        return head.version().compareTo(other.head.version()) > 0;
    }

    private static ServiceConfig parse(BlobId blob, String text, ServiceId service)
            throws ConfigException {
        requireDigest(blob, text, service);
        return ServiceFileReader.read(service.value(), text);
    }

    private static void requireDigest(BlobId blob, String text, ServiceId service)
            throws ConfigException {
        if (text == null || !Objects.equals(BlobId.of(text), blob)) {
            throw digestMismatch(service);
        }
    }

    private static ConfigException digestMismatch(ServiceId service) {
        ConfigMessage message = ConfigMessage.DIGEST_MISMATCH;
        return new ConfigException(
                List.of(new ConfigProblem(message, message.text(), service.value(), 0, "", "")));
    }
}
