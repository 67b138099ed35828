package org.crocusgrade.core.member;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

/**
 * An owner's own view of how long it may grant slots. Immutable: each event makes a new value.
 *
 * <p>Idea. The right lasts while the member lease does, counted from before the renewal was sent.
 * Without the platform's service it lasts while more than half of the recorded witnesses have each
 * promised not to help a take-over, counted from before each was asked. A take-over needs more than
 * half of the same set as fenced, so one witness would have to be in both.
 *
 * <p>Three details make it right.
 *
 * <ul>
 *   <li>A write of the record whose answer is lost may have taken effect, now or later. Until that
 *       is resolved, both witness sets must agree: a take-over can only use one of them.
 *   <li>A lease made anew, after one was lost, counts only when the record has been written after
 *       it: a take-over that is under way closes the record, and one of the two writes fails.
 *   <li>Promises count for the term that they were asked for, and a fence ends its term.
 * </ul>
 *
 * <p>Worked case. Owner A of three daemons has the set {A, B, C}. The service goes down; at the
 * lease's end A has its own and B's promise and goes on. C sees the service again before A does and
 * asks B and itself for fences; B answers once A's promise has run out, by when A has either
 * renewed, through B too, or stopped.
 */
public final class Authority {
    private final OwnershipTimeouts times;
    private final DaemonRun self;
    private final AuthorityRecord confirmed;
    private final AuthorityRecord pending;
    private final long leaseEnd;
    private final Lease lease;
    private final boolean binds;
    private final Map<Asked, Long> promises;

    /** What is known of the member lease. */
    private enum Lease {
        /** There is none. */
        NONE,
        /** It was made, and the record has not been written since. */
        MADE,
        /** It was made, and the record has been written since. */
        BOUND
    }

    private record Asked(DaemonRun witness, long term) implements Comparable<Asked> {
        @Override
        public int compareTo(Asked other) {
            int order = witness.compareTo(other.witness);
            return order != 0 ? order : Long.compare(term, other.term);
        }
    }

    private Authority(
            OwnershipTimeouts times,
            DaemonRun self,
            AuthorityRecord confirmed,
            AuthorityRecord pending,
            long leaseEnd,
            Lease lease,
            boolean binds,
            Map<Asked, Long> promises) {
        this.times = Objects.requireNonNull(times);
        this.self = Objects.requireNonNull(self);
        this.confirmed = confirmed;
        this.pending = pending;
        this.leaseEnd = leaseEnd;
        this.lease = lease;
        this.binds = binds;
        this.promises = promises;
    }

    /** Makes the view of a run that has no right yet. */
    public static Authority none(DaemonRun self, OwnershipTimeouts times) {
        return new Authority(times, self, null, null, 0, Lease.NONE, false, Map.of());
    }

    /** Returns the record that is known to be in force, if any. */
    public Optional<AuthorityRecord> confirmed() {
        return Optional.ofNullable(confirmed);
    }

    /** Returns the record that was sent and may or may not be in force, if any. */
    public Optional<AuthorityRecord> pending() {
        return Optional.ofNullable(pending);
    }

    /** Returns the run. */
    public DaemonRun self() {
        return self;
    }

    /** Returns whether the record was written since the lease was made. */
    public boolean isBound() {
        return lease == Lease.BOUND;
    }

    /** Returns whether there is a lease that the service knew when last asked. */
    public boolean hasLease() {
        return lease != Lease.NONE;
    }

    /** Notes a lease made or renewed by a call sent at the time. */
    public Authority onLease(long sent) {
        long end = sent + times.leaseNanos();
        Lease next = lease == Lease.NONE ? Lease.MADE : lease;
        boolean later = lease == Lease.NONE || end - leaseEnd > 0;
        return with(confirmed, pending, later ? end : leaseEnd, next, binds);
    }

    /** Notes that the service no longer knows the lease. */
    public Authority onLeaseLost() {
        return with(confirmed, pending, leaseEnd, Lease.NONE, false);
    }

    /** Notes that a record is about to be sent; to be called before. */
    public Authority onWrite(AuthorityRecord record) {
        return with(confirmed, record, leaseEnd, lease, lease != Lease.NONE);
    }

    /** Notes that the pending record is in force, by the answer or by reading it back. */
    public Authority onWritten() {
        if (pending == null) {
            return this;
        }
        return with(pending, null, leaseEnd, binds ? Lease.BOUND : lease, false);
    }

    /** Notes that the pending record was certainly not written and never will be. */
    public Authority onNotWritten() {
        return with(confirmed, null, leaseEnd, lease, false);
    }

    private Authority with(
            AuthorityRecord inForce,
            AuthorityRecord sent,
            long end,
            Lease state,
            boolean willBind) {
        return new Authority(times, self, inForce, sent, end, state, willBind, promises);
    }

    /** Notes that the record in force is not this run's, or closed: the right has ended. */
    public Authority onClosed() {
        return none(self, times);
    }

    /** Notes a promise for a term, from a witness that was asked at the time. */
    public Authority onPromise(DaemonRun witness, long term, long asked) {
        Map<Asked, Long> next = new TreeMap<>(promises);
        next.put(new Asked(witness, term), asked + times.promise().toNanos());
        next.keySet().removeIf(each -> isPast(each.term()));
        return new Authority(times, self, confirmed, pending, leaseEnd, lease, binds, next);
    }

    /** Forgets what has run out; it changes no answer at the time or after. */
    public Authority expire(long now) {
        Map<Asked, Long> next = new TreeMap<>(promises);
        next.values().removeIf(end -> end - now <= 0);
        long end = leaseEnd - now > 0 ? leaseEnd : now;
        if (next.equals(promises) && end == leaseEnd) {
            return this;
        }
        return new Authority(times, self, confirmed, pending, end, lease, binds, next);
    }

    private boolean isPast(long term) {
        return confirmed != null && term < confirmed.term();
    }

    /** Returns whether slots may be granted at the time. */
    public boolean mayGrant(long now) {
        if (confirmed == null) {
            return false;
        }
        if (lease == Lease.BOUND && now - leaseEnd < 0) {
            return true;
        }
        return hasPromises(confirmed, now) && (pending == null || hasPromises(pending, now));
    }

    /** Returns the time up to which slots may be granted, as known at the time given. */
    public long end(long now) {
        long end = now;
        if (confirmed == null) {
            return end;
        }
        if (lease == Lease.BOUND && leaseEnd - end > 0) {
            end = leaseEnd;
        }
        long promised = promisedEnd(confirmed, now);
        if (pending != null) {
            promised = earlier(promised, promisedEnd(pending, now));
        }
        return promised - end > 0 ? promised : end;
    }

    private boolean hasPromises(AuthorityRecord record, long now) {
        return promisedEnd(record, now) - now > 0;
    }

    /** Returns the time up to which more than half of the record's witnesses have promised. */
    private long promisedEnd(AuthorityRecord record, long now) {
        List<Long> left = new ArrayList<>();
        for (DaemonRun each : record.witnesses().runs()) {
            Long end = promises.get(new Asked(each, record.term()));
            if (end != null) {
                left.add(end - now);
            }
        }
        int majority = record.witnesses().majority();
        if (left.size() < majority) {
            return now;
        }
        left.sort(Collections.reverseOrder());
        return now + Math.max(0, left.get(majority - 1));
    }

    private static long earlier(long a, long b) {
        return a - b < 0 ? a : b;
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof Authority that
                && self.equals(that.self)
                && Objects.equals(confirmed, that.confirmed)
                && Objects.equals(pending, that.pending)
                && leaseEnd == that.leaseEnd
                && lease == that.lease
                && binds == that.binds
                && promises.equals(that.promises);
    }

    @Override
    public int hashCode() {
        return Objects.hash(self, confirmed, pending, leaseEnd, lease, binds, promises);
    }

    @Override
    public String toString() {
        return "%s %s, pending %s, lease %s to %d, promises %s"
                .formatted(self, confirmed, pending, lease, leaseEnd, promises);
    }
}
