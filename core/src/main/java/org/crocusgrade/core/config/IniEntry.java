package org.crocusgrade.core.config;

/**
 * One key and value of an INI file.
 *
 * @param section the section that contains it
 * @param key the name of the key
 * @param value the value, not yet parsed
 * @param line the line number, from 1
 */
record IniEntry(String section, String key, String value, int line) {
    /** Returns {@code [section] key}, which identifies the entry within its file. */
    String label() {
        return "[" + section + "] " + key;
    }
}
