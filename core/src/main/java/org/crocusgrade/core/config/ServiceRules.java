package org.crocusgrade.core.config;

import java.time.Duration;
import org.crocusgrade.core.config.ServiceConfig.Budget;
import org.crocusgrade.core.config.ServiceConfig.Capacity;
import org.crocusgrade.core.config.ServiceConfig.Maintenance;
import org.crocusgrade.core.id.PoolId;

/** Validates the values of one service file against each other. */
final class ServiceRules {
    private ServiceRules() {}

    /** Reports a problem for each rule that the values violate. */
    static void check(ServiceConfig config, IniDocument doc, Problems problems) {
        checkName(config, doc, problems);
        checkTimes(config, doc, problems);
        checkCapacity(config, doc, problems);
        checkBudget(config, doc, problems);
    }

    private static void checkName(ServiceConfig config, IniDocument doc, Problems problems) {
        if (config.service().equals(FleetPolicy.KEY)) {
            problems.add(
                    ConfigMessage.CONTRADICTION,
                    doc.line("service", "name"),
                    "[service] name",
                    "any other name",
                    "this name is reserved for the fleet's own file");
        }
    }

    private static void checkTimes(ServiceConfig config, IniDocument doc, Problems problems) {
        if (config.runTime().compareTo(config.deadline()) > 0) {
            problems.add(
                    ConfigMessage.CONTRADICTION,
                    doc.line("service", "run-time"),
                    "[service] run-time",
                    "at most the deadline, " + ValueParsers.show(config.deadline()),
                    "run-time is longer than deadline");
        }
        if (config.maintenance().maxDrain().compareTo(config.deadline()) < 0) {
            problems.add(
                    ConfigMessage.CONTRADICTION,
                    doc.line("maintenance", "max-drain"),
                    "[maintenance] max-drain",
                    "at least the deadline, " + ValueParsers.show(config.deadline()),
                    "max-drain is shorter than deadline and would cut running requests");
        }
    }

    private static void checkCapacity(ServiceConfig config, IniDocument doc, Problems problems) {
        Capacity c = config.capacity();
        if (c.usualWorkers() < c.minWorkers() || c.usualWorkers() > c.maxWorkers()) {
            problems.add(
                    ConfigMessage.CONTRADICTION,
                    doc.line("capacity", "usual-workers"),
                    "[capacity] usual-workers",
                    "min-workers <= usual-workers <= max-workers",
                    "usual-workers is not between min-workers and max-workers");
        }
        for (PoolId lender : c.borrowFrom()) {
            if (lender.equals(config.pool())) {
                problems.add(
                        ConfigMessage.CONTRADICTION,
                        doc.line("capacity", "borrow-from"),
                        "[capacity] borrow-from",
                        "pools of other services",
                        "a pool cannot borrow from itself");
            }
        }
    }

    private static void checkBudget(ServiceConfig config, IniDocument doc, Problems problems) {
        Budget b = config.budget();
        Capacity c = config.capacity();
        if (b.maxUnavailable() >= c.usualWorkers()) {
            problems.add(
                    ConfigMessage.BUDGET_CANNOT_HOLD,
                    doc.line("budget", "max-unavailable"),
                    "[budget] max-unavailable",
                    "from 1 to less than usual-workers, " + c.usualWorkers(),
                    "all " + c.usualWorkers() + " workers could be unavailable at once");
            return;
        }
        Maintenance m = config.maintenance();
        long rounds = (c.maxWorkers() + b.maxUnavailable() - 1L) / b.maxUnavailable();
        Duration longest = m.maxDrain().multipliedBy(rounds);
        if (longest.compareTo(m.every()) > 0) {
            problems.add(
                    ConfigMessage.BUDGET_CANNOT_HOLD,
                    doc.line("maintenance", "every"),
                    "[maintenance] every",
                    "at least " + ValueParsers.show(longest) + ", or a higher max-unavailable",
                    "%d workers, %d at a time, drain for up to %s each"
                            .formatted(
                                    c.maxWorkers(),
                                    b.maxUnavailable(),
                                    ValueParsers.show(m.maxDrain())));
        }
    }
}
