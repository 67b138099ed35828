package org.crocusgrade.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.util.ArrayList;
import java.util.List;
import org.crocusgrade.core.config.ServiceConfig;
import org.crocusgrade.core.fleet.RackRecord;
import org.crocusgrade.core.fleet.WorkerState;

/**
 * One thing that is wrong.
 *
 * @param code its kind
 * @param since when it began, if a daemon knows
 * @param where the daemon, pool or rack
 * @param text one sentence
 */
record FleetProblem(String code, String since, String where, String text) {
    /** Finds what is wrong in what was read. */
    static List<FleetProblem> find(Fleet fleet) {
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

    private static void addDaemon(List<FleetProblem> found, Fleet fleet, Daemons.Answer answer) {
        String daemon = answer.member().daemon().value();
        if (answer.page().isEmpty()) {
            found.add(new FleetProblem("no-answer", "", daemon, "The daemon does not answer."));
            return;
        }
        JsonNode page = answer.page().get();
        long published = fleet.config().head().version().value();
        if (InForce.version(page) < published) {
            String text = "Version %d is in force, %d is published.";
            found.add(
                    new FleetProblem(
                            "config-behind",
                            "",
                            daemon,
                            text.formatted(InForce.version(page), published)));
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

    private static void addPool(List<FleetProblem> found, Fleet fleet, ServiceConfig service) {
        List<Fleet.Host> hosts = fleet.pool(service.pool());
        long out = hosts.stream().filter(h -> h.worker().state() != WorkerState.SERVING).count();
        int min = service.capacity().minWorkers();
        if (hosts.size() < min) {
            String text = "The pool has %d workers, its file asks for %d at least.";
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
