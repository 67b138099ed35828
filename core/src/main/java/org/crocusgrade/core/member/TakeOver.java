package org.crocusgrade.core.member;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * A daemon's attempt to take over from a member whose lease has expired, by closing that member's
 * authority record. Immutable. The caller must discard the attempt, and may start a new one, when
 * the member reappears, its record changes, or the platform's service does not answer.
 *
 * <p>The record may be closed once the member has been absent for the settle time and a majority of
 * the record's witnesses are fenced. A witness that restarted has lost the state of its promises.
 * Its earlier run counts as fenced only after every promise that run can have granted has expired;
 * the run has ended and can grant no further ones.
 */
public final class TakeOver {
    private final OwnershipTimeouts timeouts;
    private final AuthorityRecord target;
    private final long revision;
    private final long absentSince;
    private final Set<DaemonRun> fenced;
    private final Map<DaemonRun, Long> ended;

    private TakeOver(
            OwnershipTimeouts timeouts,
            AuthorityRecord target,
            long revision,
            long absentSince,
            Set<DaemonRun> fenced,
            Map<DaemonRun, Long> ended) {
        this.timeouts = Objects.requireNonNull(timeouts);
        this.target = Objects.requireNonNull(target);
        this.revision = revision;
        this.absentSince = absentSince;
        this.fenced = fenced;
        this.ended = ended;
    }

    /**
     * Starts an attempt.
     *
     * @param target the member's authority record, as just read
     * @param revision the revision of that record
     * @param now when the member was first found absent
     */
    public static TakeOver start(
            OwnershipTimeouts timeouts, AuthorityRecord target, long revision, long now) {
        return new TakeOver(timeouts, target, revision, now, Set.of(), Map.of());
    }

    /** Returns the authority record to close. */
    public AuthorityRecord target() {
        return target;
    }

    /** Returns the record's revision, which the closing compare-and-swap must expect. */
    public long revision() {
        return revision;
    }

    /** Returns whether the member has been absent for the settle time. */
    public boolean isSettled(long now) {
        return now - absentSince >= timeouts.settle().toNanos();
    }

    /**
     * Returns the witnesses from which a fence is still to be requested; none before the settle
     * time has passed.
     */
    public List<DaemonRun> witnessesToAsk(long now) {
        List<DaemonRun> unfenced = new ArrayList<>();
        if (!isSettled(now)) {
            return unfenced;
        }
        for (DaemonRun each : target.witnesses().runs()) {
            if (!fenced.contains(each) && !ended.containsKey(each)) {
                unfenced.add(each);
            }
        }
        return unfenced;
    }

    /** Records that a witness granted a fence for the target's term. */
    public TakeOver onFenced(DaemonRun witness) {
        Set<DaemonRun> next = new TreeSet<>(fenced);
        next.add(witness);
        return new TakeOver(timeouts, target, revision, absentSince, next, ended);
    }

    /**
     * Records that a run is live. If another run of the same daemon is a witness, that run has
     * ended at {@code now} or before.
     */
    public TakeOver onLiveRun(DaemonRun run, long now) {
        for (DaemonRun each : target.witnesses().runs()) {
            if (each.isOtherRunOf(run) && !ended.containsKey(each)) {
                Map<DaemonRun, Long> next = new TreeMap<>(ended);
                next.put(each, now);
                return new TakeOver(timeouts, target, revision, absentSince, fenced, next);
            }
        }
        return this;
    }

    /** Returns whether the record may be closed at the given time. */
    public boolean mayClose(long now) {
        if (!isSettled(now)) {
            return false;
        }
        Set<DaemonRun> excluded = new TreeSet<>(fenced);
        for (Map.Entry<DaemonRun, Long> each : ended.entrySet()) {
            if (now - each.getValue() >= timeouts.bindingNanos()) {
                excluded.add(each.getKey());
            }
        }
        return target.witnesses().hasMajorityIn(excluded);
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
