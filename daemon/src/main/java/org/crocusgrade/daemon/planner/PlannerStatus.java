package org.crocusgrade.daemon.planner;

import io.vertx.core.json.JsonArray;
import io.vertx.core.json.JsonObject;
import org.crocusgrade.core.fleet.plan.Plan;
import org.crocusgrade.core.maintenance.MaintenanceDecision;
import org.crocusgrade.core.maintenance.MaintenanceStep;

/** The planner's and maintenance's part of the operators' status page. */
public final class PlannerStatus {
    private PlannerStatus() {}

    /**
     * Returns the role's holder and epoch, and the moves that this daemon decided with their
     * inputs, newest first; there are none if this daemon has not planned.
     */
    public static JsonObject planner(PlannerRole role) {
        JsonArray moves = new JsonArray();
        role.recent().forEach(decided -> moves.add(move(decided)));
        JsonObject json = new JsonObject();
        role.holder().ifPresent(holder -> json.put("holder", holder.value()));
        return json.put("epoch", role.epoch().value()).put("moves", moves);
    }

    private static JsonObject move(PlannerRole.DecidedMove decided) {
        Plan.Move move = decided.move();
        Plan.Inputs inputs = move.inputs();
        return new JsonObject()
                .put("at", decided.at().toString())
                .put("worker", move.worker().value())
                .put("from", move.from().value())
                .put("to", move.to().value())
                .put("reason", move.reason().code)
                .put("text", move.reason().text)
                .put("fromWorkers", inputs.fromWorkers())
                .put("toWorkers", inputs.toWorkers())
                .put("fromSlots", inputs.fromSlots())
                .put("toSlots", inputs.toSlots())
                .put("drainMillis", inputs.drainTime().toMillis())
                .put("toSaved", inputs.toSaved())
                .put("fromAdded", inputs.fromAdded())
                .put("laterSaved", inputs.laterSaved())
                .put("moveCost", inputs.moveCost())
                .put("gain", inputs.gain());
    }

    /** Returns the progress of the maintenance wave; the holds are by pool. */
    public static JsonObject maintenance(MaintenanceStep step) {
        JsonObject json = new JsonObject();
        json.put("wave", step.record().wave()).put("status", step.record().status().name());
        step.record().stopped().ifPresent(why -> json.put("stopped", why.code));
        step.record().image().ifPresent(image -> json.put("image", image));
        MaintenanceStep.Progress progress = step.progress();
        JsonObject holds = new JsonObject();
        for (MaintenanceDecision decision : step.decisions()) {
            if (decision instanceof MaintenanceDecision.Hold hold) {
                holds.put(hold.pool().value(), hold.reason().code);
            }
        }
        return json.put("due", progress.due())
                .put("active", progress.active())
                .put("done", progress.done())
                .put("failed", progress.failed())
                .put("overdue", progress.overdue())
                .put("estimatedSeconds", progress.remaining().toSeconds())
                .put("holds", holds);
    }
}
