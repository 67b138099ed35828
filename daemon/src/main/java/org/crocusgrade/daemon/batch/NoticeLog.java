package org.crocusgrade.daemon.batch;

import java.util.Objects;
import org.crocusgrade.core.schedule.Notice;
import org.crocusgrade.core.schedule.Placement;
import org.crocusgrade.daemon.log.Event;
import org.crocusgrade.daemon.log.EventLog;

/**
 * Logs the copies of slow tasks, tasks that are bound to a worker, the speed of workers, and the
 * crashes of workers.
 */
final class NoticeLog {
    private static final int PERCENT = 100;

    private final EventLog log;

    NoticeLog(EventLog log) {
        this.log = Objects.requireNonNull(log);
    }

    /** Logs that a run was ordered, if it is a copy of a slow one or isolated. */
    void onStart(Placement placement) {
        if (placement.isIsolated()) {
            log.log(
                    Event.RUN_ISOLATED,
                    "task",
                    placement.task().id(),
                    "run",
                    placement.run(),
                    "worker",
                    placement.worker().id(),
                    "neighbours",
                    placement.worker().placements().size() - 1,
                    "crashes",
                    placement.task().crashes().size());
        }
        placement
                .copyReason()
                .ifPresent(
                        r ->
                                log.log(
                                        Event.COPY_STARTED,
                                        "task",
                                        placement.task().id(),
                                        "run",
                                        placement.run(),
                                        "worker",
                                        placement.worker().id(),
                                        "age-ms",
                                        Math.round(r.ageMillis()),
                                        "remaining-ms",
                                        Math.round(r.remainingMillis()),
                                        "new-ms",
                                        Math.round(r.newMillis())));
    }

    void log(Notice notice) {
        if (notice instanceof Notice.CopyDecided decided) {
            log.log(
                    decided.copyWon() ? Event.COPY_WON : Event.COPY_LOST,
                    "task",
                    decided.task(),
                    "run",
                    decided.run(),
                    "worker",
                    decided.worker());
        } else if (notice instanceof Notice.SpeedChanged changed) {
            log.log(
                    changed.slow() ? Event.WORKER_SLOW : Event.WORKER_NOT_SLOW,
                    "worker",
                    changed.worker(),
                    "percent",
                    Math.round(changed.slowdown() * PERCENT));
        } else if (notice instanceof Notice.TaskBound bound) {
            log.log(
                    Event.TASK_BOUND,
                    "task",
                    bound.task(),
                    "run",
                    bound.run(),
                    "worker",
                    bound.worker());
        } else {
            logCrash(notice);
        }
    }

    private void logCrash(Notice notice) {
        if (notice instanceof Notice.WorkerCrashed crashed) {
            log.log(
                    Event.WORKER_CRASHED,
                    "worker",
                    crashed.worker(),
                    "runs",
                    crashed.runs(),
                    "just-begun",
                    crashed.early());
        } else if (notice instanceof Notice.CrashCounted counted) {
            log.log(
                    Event.CRASH_COUNTED,
                    "task",
                    counted.task(),
                    "run",
                    counted.run(),
                    "worker",
                    counted.worker(),
                    "just-begun",
                    counted.early(),
                    "crashes",
                    counted.crashes());
        } else if (notice instanceof Notice.CrashAttributed attributed) {
            log.log(
                    Event.CRASH_ATTRIBUTED,
                    "task",
                    attributed.task(),
                    "run",
                    attributed.run(),
                    "worker",
                    attributed.worker(),
                    "crashes",
                    attributed.crashes(),
                    "sole-cause",
                    attributed.sole());
        } else if (notice instanceof Notice.CrashWithdrawn withdrawn) {
            log.log(Event.CRASH_WITHDRAWN, "worker", withdrawn.worker(), "runs", withdrawn.runs());
        } else if (notice instanceof Notice.TaskGivenUp given) {
            log.log(
                    Event.TASK_GIVEN_UP,
                    "task",
                    given.task(),
                    "crashes",
                    given.crashes(),
                    "sole-cause",
                    given.sole());
        }
    }
}
