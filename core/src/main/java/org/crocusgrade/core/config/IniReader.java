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
 * Reads INI text into entries with their lines.
 *
 * <p>The library reads sections, keys and values. It neither tells lines nor refuses what stands
 * twice, and it takes quotes, continued lines and references to the environment. So a scan of the
 * lines goes first: it allows only sections, comments and {@code key = value}, and keeps the lines.
 * The two results must name the same keys in the same order; values are taken from the library's
 * tree as they are, so that nothing in them is resolved.
 */
final class IniReader {
    /** Largest file, in bytes. */
    static final int MAX_FILE_BYTES = 256 << 10;

    private static final Pattern SECTION = Pattern.compile("\\[([a-z][a-z-]{0,40})\\]");
    private static final Pattern ENTRY =
            Pattern.compile("([A-Za-z0-9*][A-Za-z0-9_./* -]{0,199}?)\\s*=\\s*(\\S.*)");
    private static final Pattern FORBIDDEN = Pattern.compile("[\\p{Cntrl}\"'\\\\]");
    private static final String LINE_FORM = "[section], key = value, or a comment after # or ;";

    private final Problems problems;
    private final Map<String, Integer> sections = new HashMap<>();
    private final Map<String, Integer> keys = new HashMap<>();
    private final List<IniEntry> scanned = new ArrayList<>();

    private IniReader(Problems problems) {
        this.problems = problems;
    }

    /** Reads a file's bytes; throws with every fault of its lines. */
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
                openSection(section, line);
                continue;
            }
            Matcher entry = ENTRY.matcher(s);
            if (FORBIDDEN.matcher(s).find() || !entry.matches()) {
                problems.add(ConfigMessage.BAD_LINE, line, "", LINE_FORM, Problems.shown(s));
                continue;
            }
            openEntry(new IniEntry(section, entry.group(1), entry.group(2), line));
        }
    }

    private void openSection(String section, int line) {
        Integer before = sections.putIfAbsent(section, line);
        if (before != null) {
            problems.add(
                    ConfigMessage.DUPLICATE_SECTION,
                    line,
                    "[" + section + "]",
                    "each section once",
                    section,
                    before);
        }
    }

    private void openEntry(IniEntry entry) {
        if (entry.section().isEmpty()) {
            problems.add(
                    ConfigMessage.KEY_OUTSIDE_SECTION,
                    entry.line(),
                    entry.key(),
                    "a [section] line first",
                    Problems.shown(entry.key()));
            return;
        }
        Integer before = keys.putIfAbsent(entry.label(), entry.line());
        if (before != null) {
            problems.add(
                    ConfigMessage.DUPLICATE_KEY,
                    entry.line(),
                    entry.label(),
                    "each key once",
                    Problems.shown(entry.key()),
                    before);
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
            throw differs(scanned.get(Math.min(entries.size(), scanned.size() - 1)));
        }
        return entries;
    }

    private IniEntry match(int index, String section, ImmutableNode node, String value)
            throws ConfigException {
        IniEntry last = scanned.isEmpty() ? null : scanned.get(scanned.size() - 1);
        if (index >= scanned.size()) {
            throw differs(last == null ? new IniEntry(section, "", value, 0) : last);
        }
        IniEntry seen = scanned.get(index);
        if (!seen.section().equals(section) || !seen.key().equals(node.getNodeName())) {
            throw differs(seen);
        }
        return new IniEntry(section, seen.key(), value, seen.line());
    }

    private ConfigException differs(IniEntry entry) {
        problems.add(
                ConfigMessage.BAD_LINE,
                entry.line(),
                entry.label(),
                LINE_FORM,
                Problems.shown(entry.value()));
        return new ConfigException(problems.list());
    }
}
