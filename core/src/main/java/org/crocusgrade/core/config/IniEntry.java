package org.crocusgrade.core.config;

/**
 * One key of an INI file.
 *
 * @param section its section
 * @param key its name
 * @param value its value, as written
 * @param line its line, from 1
 */
record IniEntry(String section, String key, String value, int line) {
    /** Returns the name for messages. */
    String label() {
        return "[" + section + "] " + key;
    }
}
