package org.crocusgrade.core.schedule;

import java.util.Collection;
import org.crocusgrade.core.submission.SubmissionSpec;

/**
 * The part of a daemon's memory that the submissions of one pool may use.
 *
 * <p>A daemon may have to take over all pools at once, so each pool gets an equal part of what one
 * daemon has for submissions, whoever owns it. The part is counted twice: once for accepted
 * submissions, each with the tasks of one occurrence, and a submission that does not fit is
 * refused; and once for the tasks of further occurrences that are due, and those that do not fit
 * wait until others are done.
 *
 * <p>For example, of a heap of 128 MB a quarter is for accepted submissions. With five pools, a
 * pool may hold 6.7 MB of them: 1,458 schedules with a text of 200 characters and one step of 12
 * tasks, or 33 submissions of 1,000 tasks.
 *
 * @param bytes for accepted submissions, and again for further occurrences
 */
public record HeapShare(long bytes) {
    public static final HeapShare UNLIMITED = new HeapShare(Long.MAX_VALUE);

    /** Part of the heap that accepted submissions, and further occurrences, may use each. */
    private static final int HEAP_DIVISOR = 4;

    private static final long SUBMISSION_BYTES = 1200;
    private static final long STEP_BYTES = 600;
    private static final long TASK_BYTES = 200;

    /** Returns the share of a pool. */
    public static HeapShare of(long maxHeapBytes, int pools) {
        return new HeapShare(maxHeapBytes / HEAP_DIVISOR / Math.max(1, pools));
    }

    /** Returns whether a submission fits beside those that use {@code heldBytes}. */
    public boolean fits(long heldBytes, SubmissionSpec spec) {
        return bytes(spec) <= bytes - heldBytes;
    }

    /** Returns how many tasks of recurring submissions may be held. */
    long maxOpenTasks() {
        return bytes / TASK_BYTES;
    }

    /** Returns what a submission uses when it has been accepted. */
    public static long bytes(SubmissionSpec spec) {
        return bytes(spec, spec.tasksPerOccurrence());
    }

    /** Returns what submissions use, each with the tasks of at most one occurrence. */
    public static long bytes(Collection<TrackedSubmission> submissions) {
        long sum = 0;
        for (TrackedSubmission submission : submissions) {
            SubmissionSpec spec = submission.spec();
            boolean isOver = submission.visibleState().isFinal();
            sum += bytes(spec, isOver ? 0 : spec.tasksPerOccurrence());
        }
        return sum;
    }

    private static long bytes(SubmissionSpec spec, int tasks) {
        long payload = 2L * spec.payload().length();
        return SUBMISSION_BYTES + payload + STEP_BYTES * spec.steps().size() + TASK_BYTES * tasks;
    }
}
