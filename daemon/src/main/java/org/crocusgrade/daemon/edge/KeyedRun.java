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
 * One run of a keyed request, with all callers that wait for its one answer. An immutable state is
 * replaced whole, so callers may attach from any thread while the answer comes from another.
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

    /** Lets a caller wait for the answer, or gives it at once if it is there. */
    void attach(Responder responder) {
        State before = state.getAndUpdate(held -> held.with(responder));
        if (before.end != null) {
            before.end.tell(responder);
        }
    }

    /** Takes it that a caller left; returns whether nobody waits any more. */
    boolean detach(Responder responder) {
        State after = state.updateAndGet(held -> held.without(responder));
        return after.end == null && after.waiting.isEmpty();
    }

    /** Gives the answer to all that wait and all that come later. */
    void end(End end) {
        State before = state.getAndUpdate(held -> held.ended(end));
        if (before.end == null) {
            before.waiting.forEach(end::tell);
        }
    }

    /**
     * How a run ended.
     *
     * @param answer the worker's answer, if there is one
     * @param reason the reason otherwise
     * @param retryAfter when to come back, if that can be told
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

        void tell(Responder responder) {
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
