package org.crocusgrade.core.member;

import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;

/**
 * What a daemon has promised to owners and answered to take-overs, for its run only. A promise to
 * an owner and a fence against it exclude each other: the fence waits until the promise has run
 * out, and after the fence no promise is given for its term. Immutable: each answer comes with the
 * next value, which must be kept before the answer is sent.
 */
public final class Witness {
    private final OwnershipTimeouts times;
    private final Map<DaemonRun, Long> bound;
    private final Map<DaemonRun, Long> fenced;

    private Witness(
            OwnershipTimeouts times, Map<DaemonRun, Long> bound, Map<DaemonRun, Long> fenced) {
        this.times = Objects.requireNonNull(times);
        this.bound = bound;
        this.fenced = fenced;
    }

    /** Makes the witness of a run that has just started. */
    public static Witness fresh(OwnershipTimeouts times) {
        return new Witness(times, Map.of(), Map.of());
    }

    /**
     * An answer and the state after it.
     *
     * @param next the state to keep
     * @param given whether the promise or the fence was given
     */
    public record Answer(Witness next, boolean given) {}

    /** Answers an owner that asks for a promise at its term. */
    public Answer promise(DaemonRun owner, long term, long now) {
        if (term <= fenced.getOrDefault(owner, 0L)) {
            return new Answer(this, false);
        }
        Map<DaemonRun, Long> next = new TreeMap<>(bound);
        next.put(owner, now + times.bindingNanos());
        return new Answer(new Witness(times, next, fenced), true);
    }

    /** Answers a daemon that wants to take over from an owner at a term. */
    public Answer fence(DaemonRun owner, long term, long now) {
        Long end = bound.get(owner);
        if (end != null && end - now > 0) {
            return new Answer(this, false);
        }
        Map<DaemonRun, Long> next = new TreeMap<>(fenced);
        next.merge(owner, term, Math::max);
        return new Answer(new Witness(times, bound, next), true);
    }

    /** Forgets promises that have run out. */
    public Witness expire(long now) {
        Map<DaemonRun, Long> next = new TreeMap<>(bound);
        next.values().removeIf(end -> end - now <= 0);
        return next.size() == bound.size() ? this : new Witness(times, next, fenced);
    }

    /** Forgets a run whose record is closed or another run's: nobody asks for it any more. */
    public Witness forget(DaemonRun owner) {
        Map<DaemonRun, Long> next = new TreeMap<>(fenced);
        next.remove(owner);
        return new Witness(times, bound, next);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Witness that
                && bound.equals(that.bound)
                && fenced.equals(that.fenced);
    }

    @Override
    public int hashCode() {
        return Objects.hash(bound, fenced);
    }

    @Override
    public String toString() {
        return "Witness[bound " + bound + ", fenced " + fenced + "]";
    }
}
