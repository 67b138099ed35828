package org.crocusgrade.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.crocusgrade.core.config.ServiceConfig;
import org.crocusgrade.core.fleet.RackRecord;
import org.crocusgrade.core.fleet.WorkerState;

/**
 * One problem that {@code status} reports.
 *
 * @param code the kind of problem
 * @param since the time at which it began; empty if no daemon reports it
 * @param where the daemon, pool or rack; empty for the whole fleet
 * @param text a one-sentence description
 */
record FleetProblem(String code, String since, String where, String text) {
    /**
     * Returns the problems that a snapshot shows: those that the daemons report, and those found by
     * comparing the snapshot with the configuration.
     */
    static List<FleetProblem> find(FleetSnapshot fleet) {
        List<FleetProblem> found = new ArrayList<>();
        if (fleet.daemons().isEmpty()) {
            found.add(new FleetProblem("no-daemon", "", "", "No daemon is in the member list."));
        }
        fleet.daemons().forEach(answer -> addDaemon(found, fleet, answer));
        for (RackRecord rack : fleet.racks()) {
            if (rack.owner().isEmpty()) {
                found.add(
                        new FleetProblem(
                                "no-owner", "", rack.rack().value(), "No daemon owns the rack."));
            }
        }
        fleet.config().fleet().services().values().stream()
                .sorted((a, b) -> a.service().compareTo(b.service()))
                .forEach(service -> addPool(found, fleet, service));
        return found;
    }

    private static void addDaemon(
            List<FleetProblem> found, FleetSnapshot fleet, DaemonClient.Reply answer) {
        String daemon = answer.member().daemon().value();
        if (answer.page().isEmpty()) {
            found.add(new FleetProblem("no-answer", "", daemon, "The daemon does not answer."));
            return;
        }
        JsonNode page = answer.page().get();
        long published = fleet.config().head().version().value();
        if (ActivationWaiter.version(page) < published) {
            String text = "Version %d is in force, %d is published.";
            found.add(
                    new FleetProblem(
                            "config-behind",
                            "",
                            daemon,
                            text.formatted(ActivationWaiter.version(page), published)));
        }
        for (JsonNode problem : page.path("problems")) {
            found.add(
                    new FleetProblem(
                            problem.path("code").asText(),
                            problem.path("since").asText(),
                            daemon,
                            problem.path("text").asText()));
        }
    }

    private static void addPool(
            List<FleetProblem> found, FleetSnapshot fleet, ServiceConfig service) {
        List<FleetSnapshot.Host> hosts = fleet.pool(service.pool());
        long out = hosts.stream().filter(h -> h.worker().state() != WorkerState.SERVING).count();
        int min = service.capacity().minWorkers();
        if (hosts.size() < min) {
            String text = "The pool has %d workers, but its min-workers is %d.";
            found.add(
                    new FleetProblem(
                            "below-min",
                            "",
                            service.pool().value(),
                            text.formatted(hosts.size(), min)));
        }
        if (out > service.budget().maxUnavailable()) {
            String text = "%d workers are out of service, the budget is %d.";
            found.add(
                    new FleetProblem(
                            "over-budget",
                            "",
                            service.pool().value(),
                            text.formatted(out, service.budget().maxUnavailable())));
        }
    }
}
