package org.crocusgrade.core.schedule;

import java.util.LinkedHashMap;
import java.util.Map;
import org.crocusgrade.core.submission.Resources;
import org.crocusgrade.core.submission.StepId;
import org.crocusgrade.core.submission.TaskId;

/**
 * The room that a worker keeps for tasks that are being stopped elsewhere, to continue here.
 * Without it, other tasks could take the room, or the host could leave the pool, while a task
 * stops.
 */
final class RoomClaims {
    private final Map<TaskId, Claim> claims = new LinkedHashMap<>();
    private Resources reserved = Resources.NONE;

    /**
     * Keeps room for a task, unless there is a claim of it already.
     *
     * @param untilNanos when the claim expires, on the monotonic clock
     */
    void add(Task task, long untilNanos) {
        if (claims.putIfAbsent(task.id(), new Claim(task, untilNanos)) == null) {
            reserved = reserved.plus(task.step().spec().reserved());
        }
    }

    void remove(Task task) {
        if (claims.remove(task.id()) != null) {
            reserved = reserved.minus(task.step().spec().reserved());
        }
    }

    /** Removes the claims that have expired, and those of tasks that are not to run again. */
    void expire(long now) {
        if (claims.isEmpty()) {
            return;
        }
        for (Claim claim : Map.copyOf(claims).values()) {
            if (now - claim.untilNanos >= 0 || claim.task.isOver()) {
                remove(claim.task);
            }
        }
    }

    boolean contains(Task task) {
        return claims.containsKey(task.id());
    }

    /** Returns what the claims reserve together. */
    Resources reserved() {
        return reserved;
    }

    int tasksOf(StepId step) {
        int count = 0;
        for (TaskId task : claims.keySet()) {
            count += task.step().equals(step) ? 1 : 0;
        }
        return count;
    }

    int size() {
        return claims.size();
    }

    private record Claim(Task task, long untilNanos) {}
}
