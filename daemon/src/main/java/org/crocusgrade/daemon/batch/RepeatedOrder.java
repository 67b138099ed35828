package org.crocusgrade.daemon.batch;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
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
    private int calls;
    private int open;
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
        }
    }

    private void sendOnce() {
        long sentNanos = runtime.clock().nanoTime();
        calls++;
        open++;
        result.onSent(sentNanos);
        call.get()
                .emitOn(runtime.loop())
                .subscribe()
                .with(t -> onAnswer(t, sentNanos), this::onFailure);
    }

    private void onAnswer(T answer, long sentNanos) {
        result.onSettled();
        if (ended) {
            return;
        }
        delay.answeredAfter(Duration.ofNanos(runtime.clock().nanoTime() - sentNanos));
        ended = true;
        result.onAnswer(answer, calls > 1);
    }

    private void onFailure(Throwable failure) {
        open--;
        if (mayHaveArrived(failure)) {
            mayHaveArrived = true;
            result.onUnanswered();
        } else {
            result.onSettled();
        }
        if (ended || open > 0) {
            return;
        }
        ended = true;
        result.onFailure(failure, mayHaveArrived);
    }

    private static boolean mayHaveArrived(Throwable failure) {
        return !(failure instanceof OrderException e)
                || e.kind() != OrderException.Kind.NOT_SENT
                        && e.kind() != OrderException.Kind.OTHER_INCARNATION;
    }

    /** Receives the result of an order, once. */
    interface Result<T> {
        /**
         * Called with the first answer.
         *
         * @param repeated whether the order was sent twice
         */
        void onAnswer(T answer, boolean repeated);

        /**
         * Called when a call is sent, so that it may be carried out.
         *
         * @param sentNanos the time, on the monotonic clock
         */
        default void onSent(long sentNanos) {}

        /** Called when a call got no answer, so that it may be carried out seconds later. */
        default void onUnanswered() {}

        /**
         * Called when a call can no longer be carried out, as it was answered, or was not sent.
         * This also happens after the order has its result.
         */
        default void onSettled() {}

        /** Called when no answer came; {@code mayHaveArrived} if the worker may have the order. */
        void onFailure(Throwable failure, boolean mayHaveArrived);
    }
}
