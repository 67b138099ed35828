package org.crocusgrade.standin.worker;

import io.vertx.core.json.JsonObject;

/**
 * Faults injected into a stand-in worker. A request is subject to the faults that were set when it
 * started.
 *
 * @param failAll every request is started and answered with status 500
 * @param otherId answers carry the id of another request
 * @param cutAnswers the connection is closed after half of the answer's body
 * @param stall requests are started and never answered
 * @param slowdown factor, at least 1, by which the requested run time is multiplied
 */
public record WorkerFaults(
        boolean failAll, boolean otherId, boolean cutAnswers, boolean stall, int slowdown) {
    /** No faults. */
    public static final WorkerFaults NONE = new WorkerFaults(false, false, false, false, 1);

    /** Checks the fields. */
    public WorkerFaults {
        if (slowdown < 1) {
            throw new IllegalArgumentException("worker slowdown factor must be at least 1");
        }
    }

    /** Reads the faults from the control endpoint's JSON; absent fields mean no fault. */
    public static WorkerFaults fromJson(JsonObject json) {
        return new WorkerFaults(
                json.getBoolean("failAll", false),
                json.getBoolean("otherId", false),
                json.getBoolean("cutAnswers", false),
                json.getBoolean("stall", false),
                json.getInteger("slowdown", 1));
    }
}
