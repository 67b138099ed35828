package org.crocusgrade.core.schedule;

import java.util.Objects;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.submission.TaskId;

/** A change that the scheduler has found in the reports of workers, for the log. */
public sealed interface Notice {
    /**
     * One of two runs of a task has completed it.
     *
     * @param run the run that completed
     * @param worker the worker of that run
     * @param copyWon whether it is the later one
     */
    record CopyDecided(TaskId task, long run, WorkerId worker, boolean copyWon) implements Notice {
        public CopyDecided {
            Objects.requireNonNull(task);
            Objects.requireNonNull(worker);
        }
    }

    /**
     * A worker has closed or refused a connection and may have crashed.
     *
     * @param runs the number of its runs
     * @param early how many of them had just begun
     */
    record WorkerCrashed(WorkerId worker, int runs, int early) implements Notice {
        public WorkerCrashed {
            Objects.requireNonNull(worker);
        }
    }

    /**
     * The crash of a worker was counted for a task that may be the cause of it.
     *
     * @param early whether the run had just begun
     * @param crashes the number of crashes of the task
     */
    record CrashCounted(TaskId task, long run, WorkerId worker, boolean early, int crashes)
            implements Notice {
        public CrashCounted {
            Objects.requireNonNull(task);
            Objects.requireNonNull(worker);
        }
    }

    /**
     * No submission but that of the task can have caused a crash.
     *
     * @param crashes the number of crashes of the task
     * @param sole how many of them have no other possible cause
     */
    record CrashAttributed(TaskId task, long run, WorkerId worker, int crashes, int sole)
            implements Notice {
        public CrashAttributed {
            Objects.requireNonNull(task);
            Objects.requireNonNull(worker);
        }
    }

    /**
     * A worker that seemed to have crashed has answered.
     *
     * @param runs the number of runs for which the crash had been counted
     */
    record CrashWithdrawn(WorkerId worker, int runs) implements Notice {
        public CrashWithdrawn {
            Objects.requireNonNull(worker);
        }
    }

    /**
     * A task was given up, because workers crashed under it.
     *
     * @param crashes the number of crashes
     * @param sole how many of them have no other possible cause
     */
    record TaskGivenUp(TaskId task, int crashes, int sole) implements Notice {
        public TaskGivenUp {
            Objects.requireNonNull(task);
        }
    }

    /**
     * A run has ended, but the next incarnation of its worker may still begin it, so that further
     * runs of the task begin only there.
     */
    record TaskBound(TaskId task, long run, WorkerId worker) implements Notice {
        public TaskBound {
            Objects.requireNonNull(task);
            Objects.requireNonNull(worker);
        }
    }

    /**
     * A worker is taken for slow, or no longer.
     *
     * @param slowdown how many times longer runs take there than on the pool's other workers
     */
    record SpeedChanged(WorkerId worker, boolean slow, double slowdown) implements Notice {
        public SpeedChanged {
            Objects.requireNonNull(worker);
        }
    }
}
