package org.crocusgrade.standin.worker;

import io.vertx.core.json.JsonObject;

/**
 * How a stand-in worker fails.
 *
 * @param failAll every request is started and answered with status 500
 * @param otherId answers carry another request's id
 * @param cutAnswers answers break off half-way
 * @param stall requests are started and never answered
 * @param slowdown the factor by which requests run longer than asked
 */
public record WorkerFaults(
        boolean failAll, boolean otherId, boolean cutAnswers, boolean stall, int slowdown) {
    /** No fault. */
    public static final WorkerFaults NONE = new WorkerFaults(false, false, false, false, 1);

    /** Checks the fields. */
    public WorkerFaults {
        if (slowdown < 1) {
            throw new IllegalArgumentException("slowdown must be at least 1");
        }
    }

    /** Reads the faults from the control endpoint's JSON; what is absent is no fault. */
    public static WorkerFaults fromJson(JsonObject json) {
        return new WorkerFaults(
                json.getBoolean("failAll", false),
                json.getBoolean("otherId", false),
                json.getBoolean("cutAnswers", false),
                json.getBoolean("stall", false),
                json.getInteger("slowdown", 1));
    }
}
