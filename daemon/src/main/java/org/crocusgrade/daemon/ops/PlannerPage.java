package org.crocusgrade.daemon.ops;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import java.util.List;
import org.crocusgrade.core.fleet.plan.Plan;

/** The part of the status page that the planner's holder has: its latest moves, with inputs. */
public final class PlannerPage {
    private PlannerPage() {}

    /** Returns the moves as JSON, the newest first. */
    public static JsonObject of(List<Plan.Move> moves) {
        JsonArray array = new JsonArray();
        for (Plan.Move move : moves) {
            Plan.Inputs in = move.inputs();
            array.add(
                    new JsonObject()
                            .put("worker", move.worker().value())
                            .put("from", move.from().value())
                            .put("to", move.to().value())
                            .put("reason", move.reason().code)
                            .put("fromWorkers", in.fromWorkers())
                            .put("toWorkers", in.toWorkers())
                            .put("fromSlots", in.fromSlots())
                            .put("toSlots", in.toSlots())
                            .put("drainMs", in.drainTime().toMillis())
                            .put("gain", in.gain()));
        }
        return new JsonObject().put("moves", array);
    }
}
