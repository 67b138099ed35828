package org.crocusgrade.daemon.batch;

import java.util.ArrayList;
import java.util.List;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.schedule.Order;
import org.crocusgrade.core.schedule.Placement;
import org.crocusgrade.core.schedule.ShareChange;
import org.crocusgrade.core.schedule.TrackedStep;
import org.crocusgrade.core.submission.TaskEnd;
import org.crocusgrade.core.submission.TaskId;
import org.crocusgrade.daemon.log.Event;
import org.crocusgrade.daemon.log.EventLog;

/** Logs the orders and other decisions of a pool's owner. */
final class OrderLog {
    private final EventLog log;
    private final ServiceId service;
    private final NoticeLog notices;

    OrderLog(EventLog log, ServiceId service, NoticeLog notices) {
        this.log = log;
        this.service = service;
        this.notices = notices;
    }

    /** Logs that a customer has begun or ceased to be above its share. */
    void onShareChange(ShareChange change) {
        log.log(
                Event.CUSTOMER_SHARE,
                "pool",
                service,
                "customer",
                change.customer(),
                "above",
                change.above(),
                "usage-permille",
                Math.round(change.usage() * 1000),
                "share-permille",
                Math.round(change.allocation() * 1000));
    }

    /**
     * Logs an order.
     *
     * @param configVersion the version of the configuration in force
     */
    void onOrder(Order order, long configVersion) {
        if (order instanceof Order.Start start) {
            Placement placement = start.placement();
            log(
                    Event.RUN_ORDERED,
                    order,
                    placement.task().id(),
                    placement.run(),
                    "free",
                    order.worker().free().milliCores(),
                    "config",
                    configVersion);
            notices.onStart(placement);
        } else if (order instanceof Order.Pace pace) {
            Placement placement = pace.placement();
            log(
                    Event.RUN_PACED,
                    order,
                    placement.task().id(),
                    placement.run(),
                    "percent",
                    pace.percent());
        } else if (order instanceof Order.Stop stop) {
            onStop(stop);
        }
    }

    private void onStop(Order.Stop stop) {
        String reason = stop.reason().text();
        TrackedStep step = stop.placement().map(p -> p.task().step()).orElse(null);
        if (step == null || !step.spec().longRunning()) {
            log(Event.RUN_STOPPED, stop, stop.task(), stop.run(), "reason", reason);
            return;
        }
        log(
                Event.RUN_STOPPED,
                stop,
                stop.task(),
                stop.run(),
                "reason",
                reason,
                "unavailable",
                step.unavailableTasks(),
                "max-unavailable",
                step.spec().maxUnavailable());
    }

    private void log(Event event, Order order, TaskId task, long run, Object... more) {
        List<Object> fields = new ArrayList<>();
        fields.addAll(List.of("task", task, "run", run, "worker", order.worker().id()));
        fields.addAll(List.of(more));
        log.log(event, fields.toArray());
    }

    /** Logs the ends of runs that are listed for the first time. */
    void onEnds(WorkerId worker, List<TaskEnd> ends, long lastKnownEnd) {
        for (TaskEnd end : ends) {
            if (end.number() > lastKnownEnd) {
                log.log(
                        Event.RUN_ENDED,
                        "task",
                        end.task(),
                        "run",
                        end.run(),
                        "worker",
                        worker,
                        "how",
                        end.result());
            }
        }
    }
}
