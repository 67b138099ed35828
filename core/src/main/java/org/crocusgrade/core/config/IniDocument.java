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
 * The entries of one INI file, read by key. The sections and keys that a reader looks up are the
 * known ones; {@link #rejectUnknown} reports all others, and lists the known ones as accepted.
 */
public final class IniDocument {
    private final Map<String, Integer> sections;
    private final List<IniEntry> entries;
    private final Map<String, IniEntry> byLabel = new HashMap<>();
    private final Map<String, Set<String>> knownKeys = new LinkedHashMap<>();
    private final Set<String> open = new HashSet<>();
    private final Set<String> reportedMissing = new HashSet<>();

    IniDocument(Map<String, Integer> sections, List<IniEntry> entries) {
        this.sections = Map.copyOf(sections);
        this.entries = List.copyOf(entries);
        for (IniEntry entry : entries) {
            byLabel.put(entry.label(), entry);
        }
    }

    /** Parses a file's bytes; throws with every syntax problem found. */
    public static IniDocument read(byte[] content, Problems problems) throws ConfigException {
        return IniReader.read(content, problems);
    }

    /** Returns a key's value; reports a problem and returns null if it is missing or invalid. */
    public <T> T required(String section, String key, ValueParser<T> parser, Problems problems) {
        IniEntry entry = lookUp(section, key);
        if (entry != null) {
            return parse(entry, parser, problems);
        }
        if (!sections.containsKey(section)) {
            if (reportedMissing.add(section)) {
                problems.add(ConfigMessage.MISSING_SECTION, 0, "[" + section + "]", "", section);
            }
            return null;
        }
        problems.add(
                ConfigMessage.MISSING_KEY,
                sections.get(section),
                "[" + section + "] " + key,
                parser.accepted(),
                key);
        return null;
    }

    /**
     * Returns a key's value, or the default if the key is missing; reports a problem and returns
     * null if the value is invalid.
     */
    public <T> T optional(
            String section, String key, ValueParser<T> parser, T defaultValue, Problems problems) {
        IniEntry entry = lookUp(section, key);
        return entry == null ? defaultValue : parse(entry, parser, problems);
    }

    /**
     * Returns the valid entries of a section with arbitrary keys; reports a problem for each
     * invalid key or value.
     */
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

    /** Returns the entries of a section with arbitrary keys, in the file's order. */
    List<IniEntry> openSection(String section) {
        knownKeys.computeIfAbsent(section, s -> new LinkedHashSet<>());
        open.add(section);
        List<IniEntry> found = new ArrayList<>();
        for (IniEntry entry : entries) {
            if (entry.section().equals(section)) {
                found.add(entry);
            }
        }
        return found;
    }

    /** Returns every value by the label {@code [section] key}, in the file's order. */
    public Map<String, String> values() {
        Map<String, String> values = new LinkedHashMap<>();
        entries.forEach(e -> values.put(e.label(), e.value()));
        return values;
    }

    /** Returns the line of a key; that of its section if the key is missing, or 0 if both are. */
    public int line(String section, String key) {
        IniEntry entry = byLabel.get("[" + section + "] " + key);
        return entry != null ? entry.line() : sections.getOrDefault(section, 0);
    }

    /** Reports every section and key that has not been looked up. */
    public void rejectUnknown(Problems problems) {
        for (Map.Entry<String, Integer> section : sections.entrySet()) {
            if (!knownKeys.containsKey(section.getKey())) {
                problems.add(
                        ConfigMessage.UNKNOWN_SECTION,
                        section.getValue(),
                        "[" + section.getKey() + "]",
                        String.join(", ", knownKeys.keySet()),
                        section.getKey());
            }
        }
        for (IniEntry entry : entries) {
            Set<String> known = knownKeys.get(entry.section());
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

    static <T> T parse(IniEntry entry, ValueParser<T> parser, Problems problems) {
        try {
            return parser.parse(entry.value());
        } catch (ValueException e) {
            problems.add(
                    e.reason(),
                    entry.line(),
                    entry.label(),
                    parser.accepted(),
                    Problems.shown(parser.shown(entry.value())));
            return null;
        }
    }

    private IniEntry lookUp(String section, String key) {
        knownKeys.computeIfAbsent(section, s -> new LinkedHashSet<>()).add(key);
        return byLabel.get("[" + section + "] " + key);
    }
}
