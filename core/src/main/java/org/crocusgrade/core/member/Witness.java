package org.crocusgrade.core.member;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * State of a daemon as a witness: its promises to owners and its fences against them, for the
 * current run only. A promise to an owner and a fence against it exclude each other: a fence is
 * refused until the promise has expired, and after a fence no promise is granted for its term or an
 * earlier one. Immutable: each answer comes with the next state, which the caller must store before
 * it sends the answer.
 */
public final class Witness {
    private final OwnershipTimeouts timeouts;
    private final Map<DaemonRun, Long> promised;
    private final Map<DaemonRun, Long> fenced;

    private Witness(
            OwnershipTimeouts timeouts,
            Map<DaemonRun, Long> promised,
            Map<DaemonRun, Long> fenced) {
        this.timeouts = Objects.requireNonNull(timeouts);
        this.promised = promised;
        this.fenced = fenced;
    }

    /** Returns the state of a run that has just started: no promises and no fences. */
    public static Witness fresh(OwnershipTimeouts timeouts) {
        return new Witness(timeouts, Map.of(), Map.of());
    }

    /**
     * An answer and the state that follows from it.
     *
     * @param next the state to store before the answer is sent
     * @param granted whether the promise or the fence was granted
     */
    public record Answer(Witness next, boolean granted) {}

    /** Grants an owner a promise, unless the owner has been fenced at this term or a later one. */
    public Answer promise(DaemonRun owner, long term, long now) {
        if (term <= fenced.getOrDefault(owner, 0L)) {
            return new Answer(this, false);
        }
        Map<DaemonRun, Long> next = new TreeMap<>(promised);
        next.put(owner, now + timeouts.bindingNanos());
        return new Answer(new Witness(timeouts, next, fenced), true);
    }

    /** Grants a fence against an owner at a term, unless a promise to that owner is in force. */
    public Answer fence(DaemonRun owner, long term, long now) {
        Long end = promised.get(owner);
        if (end != null && end - now > 0) {
            return new Answer(this, false);
        }
        Map<DaemonRun, Long> next = new TreeMap<>(fenced);
        next.merge(owner, term, Math::max);
        return new Answer(new Witness(timeouts, promised, next), true);
    }

    /** Discards expired promises. */
    public Witness expire(long now) {
        Map<DaemonRun, Long> next = new TreeMap<>(promised);
        next.values().removeIf(end -> end - now <= 0);
        return next.size() == promised.size() ? this : new Witness(timeouts, next, fenced);
    }

    /**
     * Discards the fence against a run whose record is closed or has passed to another run: no
     * request for that run follows.
     */
    public Witness discardFence(DaemonRun owner) {
        Map<DaemonRun, Long> next = new TreeMap<>(fenced);
        next.remove(owner);
        return new Witness(timeouts, promised, next);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Witness that
                && promised.equals(that.promised)
                && fenced.equals(that.fenced);
    }

    @Override
    public int hashCode() {
        return Objects.hash(promised, fenced);
    }

    @Override
    public String toString() {
        return "Witness[promised " + promised + ", fenced " + fenced + "]";
    }
}
