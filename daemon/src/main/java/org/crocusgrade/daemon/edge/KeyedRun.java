package org.crocusgrade.daemon.edge;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicReference;
import org.crocusgrade.core.dispatch.Reason;
import org.crocusgrade.daemon.upstream.Answer;

/**
 * One run of a keyed request, with all callers that wait for its answer. The state is immutable and
 * replaced atomically, so callers may attach from any thread while the answer arrives on another.
 */
final class KeyedRun {
    private final long fingerprint;
    private final AtomicReference<State> state = new AtomicReference<>(new State(List.of(), null));

    KeyedRun(long fingerprint) {
        this.fingerprint = fingerprint;
    }

    long fingerprint() {
        return fingerprint;
    }

    /** Adds a caller; it gets the answer when the run ends, or immediately if the run has ended. */
    void attach(Responder responder) {
        State before = state.getAndUpdate(current -> current.with(responder));
        if (before.end != null) {
            before.end.sendTo(responder);
        }
    }

    /**
     * Removes a caller that has disconnected; returns whether the run has not ended and no caller
     * waits for it.
     */
    boolean detach(Responder responder) {
        State after = state.updateAndGet(current -> current.without(responder));
        return after.end == null && after.waiting.isEmpty();
    }

    /**
     * Ends the run: the answer goes to all waiting callers and to those that attach later. Only the
     * first call has an effect.
     */
    void end(End end) {
        State before = state.getAndUpdate(current -> current.ended(end));
        if (before.end == null) {
            before.waiting.forEach(end::sendTo);
        }
    }

    /**
     * How a run ended.
     *
     * @param answer the worker's answer, if there is one
     * @param reason the reason if there is no answer; {@code OK} otherwise
     * @param retryAfter when a new request may succeed, if that is known
     */
    record End(Optional<Answer> answer, Reason reason, Optional<Duration> retryAfter) {
        End {
            Objects.requireNonNull(answer);
            Objects.requireNonNull(reason);
            Objects.requireNonNull(retryAfter);
        }

        static End of(Answer answer) {
            return new End(Optional.of(answer), Reason.OK, Optional.empty());
        }

        static End of(Reason reason) {
            return new End(Optional.empty(), reason, Optional.empty());
        }

        void sendTo(Responder responder) {
            if (answer.isPresent()) {
                responder.deliver(answer.get());
            } else {
                responder.refuse(reason, retryAfter);
            }
        }
    }

    private record State(List<Responder> waiting, End end) {
        State with(Responder responder) {
            if (end != null) {
                return this;
            }
            List<Responder> next = new ArrayList<>(waiting);
            next.add(responder);
            return new State(List.copyOf(next), null);
        }

        State without(Responder responder) {
            List<Responder> next = new ArrayList<>(waiting);
            next.remove(responder);
            return new State(List.copyOf(next), end);
        }

        State ended(End how) {
            return end != null ? this : new State(List.of(), how);
        }
    }
}
