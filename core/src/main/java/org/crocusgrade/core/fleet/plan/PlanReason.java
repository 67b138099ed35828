package org.crocusgrade.core.fleet.plan;

/** Why the planner moves a worker or leaves a pool as it is. */
public enum PlanReason {
    /** The pool is below its minimum number of workers. */
    BELOW_MIN("below-min", Severity.WARNING, "The pool has fewer workers than its least number."),
    /** The pool's demand is above its capacity. */
    SURGE("surge", Severity.INFO, "The pool's demand is above its capacity."),
    /** The pool's demand is forecast to rise above its capacity. */
    SURGE_EXPECTED("surge-expected", Severity.INFO, "The pool's demand is expected to surge."),
    /**
     * A worker goes to the spare pool because keeping it idle costs more than moving it back later.
     */
    RELEASE("release", Severity.INFO, "The pool's idle worker costs more than a move."),
    /** No move is worth its cost. */
    BALANCED("balanced", Severity.INFO, "No move is worth its cost."),
    /** A move to the pool is planned, but for a later step of the horizon. */
    NOT_YET("not-yet", Severity.INFO, "The expected move is better made later."),
    /** There is no recent demand digest of the pool with sufficient coverage. */
    DEMAND_UNKNOWN("demand-unknown", Severity.WARNING, "The pool's demand is not known."),
    /** The pool is at its maximum number of workers. */
    AT_MAX("at-max", Severity.INFO, "The pool holds its greatest number of workers."),
    /** No other pool can give a worker within its minimum, availability budget and dwell time. */
    NO_DONOR("no-donor", Severity.INFO, "No other pool can give a worker now.");

    /** The code used in metrics and in {@code crocusgrade explain}. */
    public final String code;

    /** The severity for an operator. */
    public final Severity severity;

    /** The reason as a sentence, for operators. */
    public final String text;

    PlanReason(String code, Severity severity, String text) {
        this.code = code;
        this.severity = severity;
        this.text = text;
    }

    /** The severity of a reason. */
    public enum Severity {
        /** Normal operation. */
        INFO,
        /** To be investigated if it persists. */
        WARNING
    }
}
