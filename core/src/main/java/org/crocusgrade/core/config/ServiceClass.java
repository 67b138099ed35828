package org.crocusgrade.core.config;

/** What matters most about a service's requests. */
public enum ServiceClass {
    /** A late answer is worth little: served first, refused early. */
    PROMPT("prompt"),
    /** The request must finish; it may wait. */
    MUST_FINISH("must-finish");

    /** The word in a service file. */
    public final String word;

    ServiceClass(String word) {
        this.word = word;
    }
}
