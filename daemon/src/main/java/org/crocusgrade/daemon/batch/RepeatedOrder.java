package org.crocusgrade.daemon.batch;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.Cancellable;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import org.crocusgrade.core.port.OrderException;
import org.crocusgrade.core.schedule.RepeatDelay;

/**
 * An order to a worker that is sent once more if its answer is late. The order names a run, so the
 * worker carries it out once. An order without an answer may be carried out seconds later, so only
 * an answer that says that it has been carried out decides; any other answer to an order that was
 * sent twice leaves open what becomes of the other one.
 */
final class RepeatedOrder<T> {
    private final BatchRuntime runtime;
    private final RepeatDelay delay;
    private final Supplier<Uni<T>> call;
    private final BooleanSupplier isWanted;
    private final Result<T> result;
    private final List<Cancellable> calls = new ArrayList<>(2);
    private int open;
    private long lastSentNanos;
    private boolean mayHaveArrived;
    private boolean ended;

    /**
     * Creates an order.
     *
     * @param isWanted whether the order may be repeated now
     */
    RepeatedOrder(
            BatchRuntime runtime,
            RepeatDelay delay,
            Supplier<Uni<T>> call,
            BooleanSupplier isWanted,
            Result<T> result) {
        this.runtime = runtime;
        this.delay = delay;
        this.call = call;
        this.isWanted = isWanted;
        this.result = result;
    }

    void send() {
        sendOnce();
        delay.delay().ifPresent(d -> runtime.after(d.toMillis(), this::repeat));
    }

    private void repeat() {
        if (!ended && isWanted.getAsBoolean()) {
            sendOnce();
            result.onRepeated(lastSentNanos);
        }
    }

    private void sendOnce() {
        long sentNanos = runtime.clock().nanoTime();
        lastSentNanos = sentNanos;
        open++;
        calls.add(
                call.get()
                        .emitOn(runtime.loop())
                        .subscribe()
                        .with(t -> onAnswer(t, sentNanos), this::onFailure));
    }

    private void onAnswer(T answer, long sentNanos) {
        if (ended) {
            return;
        }
        delay.answeredAfter(Duration.ofNanos(runtime.clock().nanoTime() - sentNanos));
        ended = true;
        calls.forEach(Cancellable::cancel);
        reportUnanswered(open > 1);
        result.onAnswer(answer, calls.size() > 1);
    }

    /** Reports that a call has got no answer, so that the worker may carry it out later. */
    private void reportUnanswered(boolean hasOpenCall) {
        if (hasOpenCall || mayHaveArrived) {
            result.onUnanswered(lastSentNanos);
        }
    }

    private void onFailure(Throwable failure) {
        open--;
        mayHaveArrived |=
                !(failure instanceof OrderException e)
                        || e.kind() != OrderException.Kind.NOT_SENT
                                && e.kind() != OrderException.Kind.OTHER_INCARNATION;
        if (ended || open > 0) {
            return;
        }
        ended = true;
        reportUnanswered(false);
        result.onFailure(failure, mayHaveArrived);
    }

    /** Receives the result of an order, once. */
    interface Result<T> {
        /**
         * Called with the first answer.
         *
         * @param repeated whether the order was sent twice
         */
        void onAnswer(T answer, boolean repeated);

        /** Called when the order is sent for the second time, so that one call may be left over. */
        default void onRepeated(long sentNanos) {}

        /**
         * Called when the order ends while a call for it has got no answer.
         *
         * @param lastSentNanos when it was last sent, on the monotonic clock
         */
        default void onUnanswered(long lastSentNanos) {}

        /** Called when no answer came; {@code mayHaveArrived} if the worker may have the order. */
        void onFailure(Throwable failure, boolean mayHaveArrived);
    }
}
