package org.crocusgrade.daemon;

import io.vertx.core.json.JsonObject;
import org.crocusgrade.core.fleet.SlotPool;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.daemon.configuration.ConfigWatcher;
import org.crocusgrade.daemon.control.FleetWatcher;
import org.crocusgrade.daemon.edge.FlowManager;
import org.crocusgrade.daemon.ops.ConditionMonitor;
import org.crocusgrade.daemon.ops.ServicesPage;
import org.crocusgrade.daemon.owner.RackManager;
import org.crocusgrade.daemon.planner.MaintenanceRole;
import org.crocusgrade.daemon.planner.PlannerRole;
import org.crocusgrade.daemon.planner.PlannerStatus;
import org.crocusgrade.daemon.settings.Settings;

/** The content of {@code /status}: the state of the daemon's components. */
record StatusPage(
        Settings settings,
        BootId boot,
        FlowManager flows,
        SlotPool slots,
        ConfigWatcher configWatcher,
        FleetWatcher fleet,
        RackManager rackManager,
        PlannerRole planner,
        MaintenanceRole maintenance,
        ConditionMonitor conditions) {
    /** Returns the page with the current state. */
    JsonObject json(boolean ready) {
        JsonObject page =
                new JsonObject()
                        .put("daemon", settings.daemon().value())
                        .put("boot", boot.value())
                        .put("zone", settings.zone().value())
                        .put("ready", ready)
                        .put("configVersion", configWatcher.current().head().version().value())
                        .put("configPublish", configWatcher.current().head().publish().value())
                        .put("configSettled", configWatcher.isSettled())
                        .put("racksOwned", rackManager.owned())
                        .put("members", fleet.snapshot().members().size())
                        .put("problems", conditions.json())
                        .put("services", ServicesPage.of(flows.table().get(), slots));
        if (planner.holder().filter(settings.daemon()::equals).isPresent()) {
            page.put("planner", PlannerStatus.planner(planner));
        }
        maintenance
                .latestStep()
                .ifPresent(s -> page.put("maintenance", PlannerStatus.maintenance(s)));
        return page;
    }
}
