package org.crocusgrade.daemon.concurrent;

import java.util.function.Consumer;

/**
 * Decides which failures of a step a daemon survives.
 *
 * <p>A step that fails is given up and reported, and the daemon continues with the next one: an
 * input that one step cannot process must not stop all others. That holds for a stack overflow too,
 * which depends on the input of the step alone. After the other failures of the virtual machine, of
 * which running out of memory is the usual one, later steps would fail as well while the daemon
 * still holds its duties. They are not caught, and the process ends on an {@link OutOfMemoryError}
 * (see the deploy file), so that another daemon takes the duties over.
 */
public final class Failures {
    private Failures() {}

    /**
     * Runs a step; a failure that the daemon survives is passed to {@code onFailure}, others are
     * thrown.
     */
    public static void guard(Runnable step, Consumer<Throwable> onFailure) {
        try {
            step.run();
        } catch (RuntimeException | StackOverflowError | LinkageError | AssertionError e) {
            onFailure.accept(e);
        }
    }
}
