package org.crocusgrade.core.config;

import java.io.IOException;
import java.io.StringReader;
import java.nio.ByteBuffer;
import java.nio.charset.CharacterCodingException;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.apache.commons.configuration2.INIConfiguration;
import org.apache.commons.configuration2.tree.ImmutableNode;

/**
 * Parses INI text into entries with their line numbers.
 *
 * <p>Commons Configuration parses the sections, keys and values. It does not report line numbers,
 * accepts duplicate sections and keys, and supports quotes, continued lines and references to
 * environment variables. Therefore a scan of the lines runs first: it allows only section headings,
 * comments and {@code key = value}, rejects duplicates, and records line numbers. Both results must
 * have the same keys in the same order. Values are read from the node tree of the library, which
 * does not interpolate variables.
 */
final class IniReader {
    /** Maximum size of a file, in bytes. */
    static final int MAX_FILE_BYTES = 256 << 10;

    private static final Pattern SECTION = Pattern.compile("\\[([a-z][a-z-]{0,40})\\]");
    private static final Pattern ENTRY =
            Pattern.compile("([A-Za-z0-9*][A-Za-z0-9_./* -]{0,199}?)\\s*=\\s*(\\S.*)");
    private static final Pattern FORBIDDEN = Pattern.compile("[\\p{Cntrl}\"'\\\\]");
    private static final String LINE_SYNTAX = "[section], key = value, or a comment after # or ;";

    private final Problems problems;
    private final Map<String, Integer> sections = new HashMap<>();
    private final Map<String, Integer> keys = new HashMap<>();
    private final List<IniEntry> scanned = new ArrayList<>();

    private IniReader(Problems problems) {
        this.problems = problems;
    }

    /** Parses a file's bytes; throws with every syntax problem found. */
    static IniDocument read(byte[] content, Problems problems) throws ConfigException {
        IniReader reader = new IniReader(problems);
        String text = reader.decode(content);
        reader.scan(text);
        problems.check();
        return new IniDocument(reader.sections, reader.parse(text));
    }

    private String decode(byte[] content) throws ConfigException {
        if (content.length > MAX_FILE_BYTES) {
            problems.add(
                    ConfigMessage.FILE_TOO_LARGE, 0, "", "", ValueParsers.showSize(MAX_FILE_BYTES));
            problems.check();
        }
        try {
            return StandardCharsets.UTF_8.newDecoder().decode(ByteBuffer.wrap(content)).toString();
        } catch (CharacterCodingException e) {
            problems.add(ConfigMessage.NOT_TEXT, 0, "", "UTF-8", e.getMessage());
            throw new ConfigException(problems.list());
        }
    }

    private void scan(String text) {
        String section = "";
        int line = 0;
        for (String raw : text.split("\r?\n", -1)) {
            line++;
            String s = raw.strip();
            if (s.isEmpty() || s.startsWith("#") || s.startsWith(";")) {
                continue;
            }
            Matcher heading = SECTION.matcher(s);
            if (heading.matches()) {
                section = heading.group(1);
                addSection(section, line);
                continue;
            }
            Matcher entry = ENTRY.matcher(s);
            if (FORBIDDEN.matcher(s).find() || !entry.matches()) {
                problems.add(ConfigMessage.BAD_LINE, line, "", LINE_SYNTAX, Problems.shown(s));
                continue;
            }
            addEntry(new IniEntry(section, entry.group(1), entry.group(2), line));
        }
    }

    private void addSection(String section, int line) {
        Integer firstLine = sections.putIfAbsent(section, line);
        if (firstLine != null) {
            problems.add(
                    ConfigMessage.DUPLICATE_SECTION,
                    line,
                    "[" + section + "]",
                    "each section once",
                    section,
                    firstLine);
        }
    }

    private void addEntry(IniEntry entry) {
        if (entry.section().isEmpty()) {
            problems.add(
                    ConfigMessage.KEY_OUTSIDE_SECTION,
                    entry.line(),
                    entry.key(),
                    "a [section] line first",
                    Problems.shown(entry.key()));
            return;
        }
        Integer firstLine = keys.putIfAbsent(entry.label(), entry.line());
        if (firstLine != null) {
            problems.add(
                    ConfigMessage.DUPLICATE_KEY,
                    entry.line(),
                    entry.label(),
                    "each key once",
                    Problems.shown(entry.key()),
                    firstLine);
        }
        scanned.add(entry);
    }

    private List<IniEntry> parse(String text) throws ConfigException {
        INIConfiguration ini = new INIConfiguration();
        try {
            ini.read(new StringReader(text));
        } catch (org.apache.commons.configuration2.ex.ConfigurationException | IOException e) {
            problems.add(ConfigMessage.NOT_TEXT, 0, "", "INI", Problems.shown(e.toString()));
            throw new ConfigException(problems.list());
        }
        List<IniEntry> entries = new ArrayList<>();
        ImmutableNode root = ini.getNodeModel().getNodeHandler().getRootNode();
        for (ImmutableNode section : root.getChildren()) {
            for (ImmutableNode node : section.getChildren()) {
                String value = node.getValue() == null ? "" : node.getValue().toString();
                entries.add(match(entries.size(), section.getNodeName(), node, value));
            }
        }
        if (entries.size() != scanned.size()) {
            throw mismatch(scanned.get(Math.min(entries.size(), scanned.size() - 1)));
        }
        return entries;
    }

    private IniEntry match(int index, String section, ImmutableNode node, String value)
            throws ConfigException {
        IniEntry last = scanned.isEmpty() ? null : scanned.get(scanned.size() - 1);
        if (index >= scanned.size()) {
            throw mismatch(last == null ? new IniEntry(section, "", value, 0) : last);
        }
        IniEntry expected = scanned.get(index);
        if (!expected.section().equals(section) || !expected.key().equals(node.getNodeName())) {
            throw mismatch(expected);
        }
        return new IniEntry(section, expected.key(), value, expected.line());
    }

    private ConfigException mismatch(IniEntry entry) {
        problems.add(
                ConfigMessage.BAD_LINE,
                entry.line(),
                entry.label(),
                LINE_SYNTAX,
                Problems.shown(entry.value()));
        return new ConfigException(problems.list());
    }
}
