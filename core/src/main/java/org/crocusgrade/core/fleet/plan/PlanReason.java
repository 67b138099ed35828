package org.crocusgrade.core.fleet.plan;

/** Why the planner moves a worker or leaves a pool as it is. */
public enum PlanReason {
    /** A pool is below its least number of workers. */
    BELOW_MIN("below-min", Severity.WARNING, "The pool has fewer workers than its least number."),
    /** A pool's demand is above its capacity. */
    SURGE("surge", Severity.INFO, "The pool's demand is above its capacity."),
    /** A pool's demand is expected to rise above its capacity. */
    SURGE_EXPECTED("surge-expected", Severity.INFO, "The pool's demand is expected to surge."),
    /** A pool holds idle workers that cost more than fetching them again. */
    RELEASE("release", Severity.INFO, "The pool's idle worker costs more than a move."),
    /** No move is worth its cost. */
    BALANCED("balanced", Severity.INFO, "No move is worth its cost."),
    /** A move is worth more when it is made later. */
    NOT_YET("not-yet", Severity.INFO, "The expected move is better made later."),
    /** Nothing recent is known of the pool's demand. */
    DEMAND_UNKNOWN("demand-unknown", Severity.WARNING, "The pool's demand is not known."),
    /** The pool holds its greatest number of workers. */
    AT_MAX("at-max", Severity.INFO, "The pool holds its greatest number of workers."),
    /** No other pool can give a worker within its least number, budget and dwell. */
    NO_DONOR("no-donor", Severity.INFO, "No other pool can give a worker now.");

    /** The code, as in metrics and {@code crocusgrade explain}. */
    public final String code;

    /** How much an operator should care. */
    public final Severity severity;

    /** One sentence for people. */
    public final String text;

    PlanReason(String code, Severity severity, String text) {
        this.code = code;
        this.severity = severity;
        this.text = text;
    }

    /** How much an operator should care. */
    public enum Severity {
        /** Part of ordinary work. */
        INFO,
        /** Worth a look when it lasts. */
        WARNING
    }
}
