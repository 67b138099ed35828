package org.crocusgrade.core.member;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * One daemon's attempt to close the record of another whose lease has lapsed. Immutable. It ends,
 * and may start anew, when the member is seen again, its record changes, or the platform's service
 * does not answer.
 *
 * <p>The record may be closed when the member was absent for the whole settle time, and more than
 * half of the record's witnesses are fenced. A witness that was seen to run anew has forgotten its
 * promises; it counts as fenced only when every promise of the run before has run out, since that
 * run can give no more.
 */
public final class TakeOver {
    private final OwnershipTimeouts times;
    private final AuthorityRecord target;
    private final long revision;
    private final long absentSince;
    private final Set<DaemonRun> fenced;
    private final Map<DaemonRun, Long> ended;

    private TakeOver(
            OwnershipTimeouts times,
            AuthorityRecord target,
            long revision,
            long absentSince,
            Set<DaemonRun> fenced,
            Map<DaemonRun, Long> ended) {
        this.times = Objects.requireNonNull(times);
        this.target = Objects.requireNonNull(target);
        this.revision = revision;
        this.absentSince = absentSince;
        this.fenced = fenced;
        this.ended = ended;
    }

    /**
     * Starts an attempt.
     *
     * @param target the member's record, as read now
     * @param revision the record's revision
     * @param now when the member was first seen absent
     */
    public static TakeOver start(
            OwnershipTimeouts times, AuthorityRecord target, long revision, long now) {
        return new TakeOver(times, target, revision, now, Set.of(), Map.of());
    }

    /** Returns the record to close. */
    public AuthorityRecord target() {
        return target;
    }

    /** Returns the record's revision, which the closing write must expect. */
    public long revision() {
        return revision;
    }

    /** Returns whether the member was absent for the settle time. */
    public boolean isSettled(long now) {
        return now - absentSince >= times.settle().toNanos();
    }

    /** Returns the witnesses to ask for a fence, none before the settle time. */
    public List<DaemonRun> witnessesToAsk(long now) {
        List<DaemonRun> asked = new ArrayList<>();
        if (!isSettled(now)) {
            return asked;
        }
        for (DaemonRun each : target.witnesses().runs()) {
            if (!fenced.contains(each) && !ended.containsKey(each)) {
                asked.add(each);
            }
        }
        return asked;
    }

    /** Notes a witness's fence for the target's term. */
    public TakeOver onFenced(DaemonRun witness) {
        Set<DaemonRun> next = new TreeSet<>(fenced);
        next.add(witness);
        return new TakeOver(times, target, revision, absentSince, next, ended);
    }

    /** Notes a run that is live: an earlier run of the same daemon has ended. */
    public TakeOver onRunSeen(DaemonRun run, long now) {
        for (DaemonRun each : target.witnesses().runs()) {
            if (each.isOtherRunOf(run) && !ended.containsKey(each)) {
                Map<DaemonRun, Long> next = new TreeMap<>(ended);
                next.put(each, now);
                return new TakeOver(times, target, revision, absentSince, fenced, next);
            }
        }
        return this;
    }

    /** Returns whether the record may be closed. */
    public boolean mayClose(long now) {
        if (!isSettled(now)) {
            return false;
        }
        Set<DaemonRun> bound = new TreeSet<>(fenced);
        for (Map.Entry<DaemonRun, Long> each : ended.entrySet()) {
            if (now - each.getValue() >= times.bindingNanos()) {
                bound.add(each.getKey());
            }
        }
        return target.witnesses().hasMajorityIn(bound);
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof TakeOver that
                && target.equals(that.target)
                && revision == that.revision
                && absentSince == that.absentSince
                && fenced.equals(that.fenced)
                && ended.equals(that.ended);
    }

    @Override
    public int hashCode() {
        return Objects.hash(target, revision, absentSince, fenced, ended);
    }

    @Override
    public String toString() {
        return "TakeOver["
                + target
                + "@"
                + revision
                + ", absent since "
                + absentSince
                + ", fenced "
                + fenced
                + ", ended "
                + ended
                + "]";
    }
}
