package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.submission.TaskId;

/**
 * The starts without an answer that workers may still carry out, whatever has become of their tasks
 * meanwhile. What keeps a worker from carrying out such a start after its run has ended is only its
 * memory, which the next incarnation under its name does not have; so that one is told to reject
 * these runs.
 *
 * <p>For example, a start at 0 s gets no answer and is sent again; the run ends as done at 2 s, and
 * the worker crashes at 3 s and is back at 5 s. The first start may reach it until 15 s.
 */
final class LateStarts {
    /** How long after it was sent a start may be carried out, with a margin. */
    static final Duration MAX_DELAY = Duration.ofSeconds(15);

    private final Map<WorkerId, Deque<LateStart>> starts = new HashMap<>();

    /** Returns until when a call may be carried out that was sent at a time. */
    static long until(long sentNanos) {
        return sentNanos + MAX_DELAY.toNanos();
    }

    /** Adds a start that got no answer. */
    void add(WorkerId worker, TaskId task, long run, long sentNanos) {
        starts.computeIfAbsent(worker, w -> new ArrayDeque<>())
                .add(new LateStart(task, run, sentNanos));
    }

    /** Returns the starts that a worker may still carry out. */
    List<LateStart> of(WorkerId worker, long now) {
        removeOld(now);
        return new ArrayList<>(starts.getOrDefault(worker, new ArrayDeque<>()));
    }

    /** Forgets the starts that can no longer be carried out. */
    void removeOld(long now) {
        long oldest = now - MAX_DELAY.toNanos();
        starts.values()
                .removeIf(
                        sent -> {
                            sent.removeIf(s -> s.sentNanos - oldest < 0);
                            return sent.isEmpty();
                        });
    }

    /**
     * A start that may be carried out late.
     *
     * @param sentNanos when it was last sent, on the monotonic clock
     */
    record LateStart(TaskId task, long run, long sentNanos) {}
}
