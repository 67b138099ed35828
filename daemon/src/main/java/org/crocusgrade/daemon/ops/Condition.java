package org.crocusgrade.daemon.ops;

/**
 * The conditions of a daemon that need an operator's attention, as the daemon itself detects them.
 */
public enum Condition {
    /** The member lease is not known to be valid. */
    NO_LEASE("no-lease", "The platform's service does not renew the member lease."),
    /** No configuration is in force. */
    NO_CONFIG("no-config", "No configuration is in force."),
    /** After a restart, the configuration in force may be older than the one before the restart. */
    NOT_SETTLED("config-not-settled", "The configuration in force may not be the newest."),
    /** The daemon is stopping. */
    STOPPING("stopping", "The daemon is stopping."),
    /** Requests are queued for a service, and this daemon holds no slot in its pool. */
    NO_SLOTS("no-slots", "Requests of a service wait and no slot is held for them.");

    /** The code in the status page and in the metric's label. */
    public final String code;

    /** One sentence of description for operators. */
    public final String text;

    Condition(String code, String text) {
        this.code = code;
        this.text = text;
    }
}
