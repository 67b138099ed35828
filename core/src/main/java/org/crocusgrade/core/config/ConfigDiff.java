package org.crocusgrade.core.config;

import java.util.ArrayList;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeSet;
import org.crocusgrade.core.id.ServiceId;

/** Computes the difference between two versions of the configuration, value by value. */
public final class ConfigDiff {
    private ConfigDiff() {}

    /**
     * One value that differs.
     *
     * @param key the section and key
     * @param before the earlier value, or null if it had none
     * @param after the later value, or null if it has none
     */
    public record Line(ServiceId service, String key, String before, String after) {}

    /**
     * Returns the values that differ, sorted by service. Within a service, keys of the later file
     * come first, in its order, followed by those that only the earlier file has.
     */
    public static List<Line> between(ConfigBundle before, ConfigBundle after)
            throws ConfigException {
        Set<ServiceId> services = new TreeSet<>(before.head().services().keySet());
        services.addAll(after.head().services().keySet());
        List<Line> lines = new ArrayList<>();
        for (ServiceId service : services) {
            Map<String, String> old = values(before, service);
            Map<String, String> now = values(after, service);
            Set<String> keys = new LinkedHashSet<>(now.keySet());
            keys.addAll(old.keySet());
            for (String key : keys) {
                if (!Objects.equals(old.get(key), now.get(key))) {
                    lines.add(new Line(service, key, old.get(key), now.get(key)));
                }
            }
        }
        return lines;
    }

    private static Map<String, String> values(ConfigBundle bundle, ServiceId service)
            throws ConfigException {
        String text = bundle.text(service);
        if (text == null) {
            return Map.of();
        }
        byte[] content = text.getBytes(java.nio.charset.StandardCharsets.UTF_8);
        return IniDocument.read(content, new Problems(service.value())).values();
    }
}
