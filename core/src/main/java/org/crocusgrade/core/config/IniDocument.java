package org.crocusgrade.core.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * The entries of one INI file, taken out by key. What nobody asked for is unknown: {@link
 * #rejectUnknown} reports it with the keys that were asked for.
 */
public final class IniDocument {
    private final Map<String, Integer> sections;
    private final List<IniEntry> entries;
    private final Map<String, IniEntry> byLabel = new HashMap<>();
    private final Map<String, Set<String>> asked = new LinkedHashMap<>();
    private final Set<String> open = new HashSet<>();
    private final Set<String> missing = new HashSet<>();

    IniDocument(Map<String, Integer> sections, List<IniEntry> entries) {
        this.sections = Map.copyOf(sections);
        this.entries = List.copyOf(entries);
        for (IniEntry entry : entries) {
            byLabel.put(entry.label(), entry);
        }
    }

    /** Reads a file's bytes; throws with every fault of its lines. */
    public static IniDocument read(byte[] content, Problems problems) throws ConfigException {
        return IniReader.read(content, problems);
    }

    /** Returns a key's value; reports it and returns null if it is missing or not valid. */
    public <T> T required(String section, String key, ValueParser<T> form, Problems problems) {
        IniEntry entry = take(section, key);
        if (entry != null) {
            return parse(entry, form, problems);
        }
        if (!sections.containsKey(section)) {
            if (missing.add(section)) {
                problems.add(ConfigMessage.MISSING_SECTION, 0, "[" + section + "]", "", section);
            }
            return null;
        }
        problems.add(
                ConfigMessage.MISSING_KEY,
                sections.get(section),
                "[" + section + "] " + key,
                form.accepted(),
                key);
        return null;
    }

    /** Returns a key's value or the default; reports it and returns null if it is not valid. */
    public <T> T optional(
            String section, String key, ValueParser<T> form, T absent, Problems problems) {
        IniEntry entry = take(section, key);
        return entry == null ? absent : parse(entry, form, problems);
    }

    /** Returns a section whose keys the operator chooses; reports what is not valid. */
    public <K, T> Map<K, T> open(
            String section, ValueParser<K> keys, ValueParser<T> values, Problems problems) {
        Map<K, T> found = new LinkedHashMap<>();
        for (IniEntry entry : openSection(section)) {
            T value = parse(entry, values, problems);
            try {
                K key = keys.parse(entry.key());
                if (value != null) {
                    found.put(key, value);
                }
            } catch (ValueException e) {
                problems.add(
                        e.reason(),
                        entry.line(),
                        entry.label(),
                        keys.accepted(),
                        Problems.shown(entry.key()));
            }
        }
        return found;
    }

    /** Returns the entries of a section whose keys the operator chooses, in the file's order. */
    List<IniEntry> openSection(String section) {
        asked.computeIfAbsent(section, s -> new LinkedHashSet<>());
        open.add(section);
        List<IniEntry> found = new ArrayList<>();
        for (IniEntry entry : entries) {
            if (entry.section().equals(section)) {
                found.add(entry);
            }
        }
        return found;
    }

    /** Returns every value by its section and key, in the file's order. */
    public Map<String, String> values() {
        Map<String, String> values = new LinkedHashMap<>();
        entries.forEach(e -> values.put(e.label(), e.value()));
        return values;
    }

    /** Returns the line of a key, or of its section, or 0. */
    public int line(String section, String key) {
        IniEntry entry = byLabel.get("[" + section + "] " + key);
        return entry != null ? entry.line() : sections.getOrDefault(section, 0);
    }

    /** Reports every section and key that was not asked for. */
    public void rejectUnknown(Problems problems) {
        for (Map.Entry<String, Integer> section : sections.entrySet()) {
            if (!asked.containsKey(section.getKey())) {
                problems.add(
                        ConfigMessage.UNKNOWN_SECTION,
                        section.getValue(),
                        "[" + section.getKey() + "]",
                        String.join(", ", asked.keySet()),
                        section.getKey());
            }
        }
        for (IniEntry entry : entries) {
            Set<String> known = asked.get(entry.section());
            if (known == null || open.contains(entry.section()) || known.contains(entry.key())) {
                continue;
            }
            problems.add(
                    ConfigMessage.UNKNOWN_KEY,
                    entry.line(),
                    "[" + entry.section() + "]",
                    String.join(", ", known),
                    Problems.shown(entry.key()));
        }
    }

    static <T> T parse(IniEntry entry, ValueParser<T> form, Problems problems) {
        try {
            return form.parse(entry.value());
        } catch (ValueException e) {
            problems.add(
                    e.reason(),
                    entry.line(),
                    entry.label(),
                    form.accepted(),
                    Problems.shown(form.shown(entry.value())));
            return null;
        }
    }

    private IniEntry take(String section, String key) {
        asked.computeIfAbsent(section, s -> new LinkedHashSet<>()).add(key);
        return byLabel.get("[" + section + "] " + key);
    }
}
