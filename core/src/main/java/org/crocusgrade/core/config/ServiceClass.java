package org.crocusgrade.core.config;

/** Whether a service's requests favor low latency or completion. */
public enum ServiceClass {
    /**
     * A late answer has little value: requests are served first, and rejected early rather than
     * answered late.
     */
    PROMPT("prompt"),
    /** Requests must complete; they may wait. */
    MUST_FINISH("must-finish");

    /** The value of {@code class} in a service file. */
    public final String word;

    ServiceClass(String word) {
        this.word = word;
    }
}
