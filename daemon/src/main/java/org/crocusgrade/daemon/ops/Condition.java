package org.crocusgrade.daemon.ops;

/** Everything that can be wrong with a daemon as it sees itself. */
public enum Condition {
    /** The member lease is not known to be valid. */
    NO_LEASE("no-lease", "The platform's service does not renew the member lease."),
    /** No configuration is in force. */
    NO_CONFIG("no-config", "No configuration is in force."),
    /** The configuration in force may be older than before a restart. */
    NOT_SETTLED("config-not-settled", "The configuration in force may not be the newest."),
    /** The daemon is stopping. */
    STOPPING("stopping", "The daemon is stopping."),
    /** Requests wait and no slot is held for them. */
    NO_SLOTS("no-slots", "Requests of a service wait and no slot is held for them.");

    /** The code, as in the status page and the metric. */
    public final String code;

    /** One sentence for people. */
    public final String text;

    Condition(String code, String text) {
        this.code = code;
        this.text = text;
    }
}
