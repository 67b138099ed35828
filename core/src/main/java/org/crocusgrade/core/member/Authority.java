package org.crocusgrade.core.member;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;

/**
 * The authority of an owner to grant slots of its racks, as the owner itself computes it.
 * Immutable: each event returns a new value. Times are {@code nanoTime} values of the owner's clock
 * and are compared by difference.
 *
 * <p>The authority lasts as long as the member lease, counted from before the renewal was sent. If
 * the platform's service cannot be reached, it lasts while a majority of the witnesses in the
 * authority record have each promised not to help a take-over, counted from before each request was
 * sent. A take-over needs fences from a majority of the same set. Two majorities share a witness,
 * and a witness grants a fence only after its promise has expired, and no promise for that term
 * afterwards; so authority by promises and a completed take-over exclude each other.
 *
 * <p>Three rules make this safe:
 *
 * <ul>
 *   <li>A write of the record whose answer was lost may have taken effect or may still do so. Until
 *       that is resolved, majorities of both the old and the new witness set must have promised,
 *       because a take-over may use either set.
 *   <li>A lease that replaces a lost one counts only after the record has been written under it. A
 *       take-over in progress closes the same record by compare-and-swap, so one of the two writes
 *       fails.
 *   <li>A promise counts only for the term it was requested for; a fence ends its term.
 * </ul>
 *
 * <p>Example: owner A, one of three daemons, has the witness set {A, B, C}. The service goes down.
 * When the lease ends, A holds promises from itself and B and continues. C reaches the service
 * again before A does, and requests fences from B and from itself. B grants the fence only once its
 * promise to A has expired, and by then A has stopped: had A renewed the promise at B, B would
 * still refuse the fence.
 */
public final class Authority {
    private final OwnershipTimeouts timeouts;
    private final DaemonRun self;
    private final AuthorityRecord confirmed;
    private final AuthorityRecord pending;
    private final long leaseEnd;
    private final Lease lease;
    private final boolean pendingBinds;
    private final Map<PromiseKey, Long> promises;

    /** State of the member lease, as of the last answer from the platform's service. */
    private enum Lease {
        /** No lease. */
        NONE,
        /** A lease exists, but the record has not been written since it was created. */
        MADE,
        /** A lease exists, and the record has been written since it was created. */
        BOUND
    }

    private record PromiseKey(DaemonRun witness, long term) implements Comparable<PromiseKey> {
        @Override
        public int compareTo(PromiseKey other) {
            int order = witness.compareTo(other.witness);
            return order != 0 ? order : Long.compare(term, other.term);
        }
    }

    private Authority(
            OwnershipTimeouts timeouts,
            DaemonRun self,
            AuthorityRecord confirmed,
            AuthorityRecord pending,
            long leaseEnd,
            Lease lease,
            boolean pendingBinds,
            Map<PromiseKey, Long> promises) {
        this.timeouts = Objects.requireNonNull(timeouts);
        this.self = Objects.requireNonNull(self);
        this.confirmed = confirmed;
        this.pending = pending;
        this.leaseEnd = leaseEnd;
        this.lease = lease;
        this.pendingBinds = pendingBinds;
        this.promises = promises;
    }

    /** Returns the state of a run that has neither a lease nor a confirmed record. */
    public static Authority none(DaemonRun self, OwnershipTimeouts timeouts) {
        return new Authority(timeouts, self, null, null, 0, Lease.NONE, false, Map.of());
    }

    /** Returns the record whose write was confirmed last, if any. */
    public Optional<AuthorityRecord> confirmed() {
        return Optional.ofNullable(confirmed);
    }

    /**
     * Returns the record that was sent and whose write is not yet known to have succeeded, if any.
     */
    public Optional<AuthorityRecord> pending() {
        return Optional.ofNullable(pending);
    }

    /** Returns the run whose authority this is. */
    public DaemonRun self() {
        return self;
    }

    /** Returns whether the record was written since the lease was created. */
    public boolean isBound() {
        return lease == Lease.BOUND;
    }

    /** Returns whether there is a lease, as of the last answer from the platform's service. */
    public boolean hasLease() {
        return lease != Lease.NONE;
    }

    /** Records that the lease was created or renewed by a request sent at the given time. */
    public Authority onLease(long sent) {
        long end = sent + timeouts.leaseNanos();
        Lease next = lease == Lease.NONE ? Lease.MADE : lease;
        boolean later = lease == Lease.NONE || end - leaseEnd > 0;
        return with(confirmed, pending, later ? end : leaseEnd, next, pendingBinds);
    }

    /** Records that the lease no longer exists in the platform's service. */
    public Authority onLeaseLost() {
        return with(confirmed, pending, leaseEnd, Lease.NONE, false);
    }

    /** Records that a write of the record is about to be sent; must be called before sending. */
    public Authority onWrite(AuthorityRecord record) {
        return with(confirmed, record, leaseEnd, lease, lease != Lease.NONE);
    }

    /** Records that the pending record is in force: its write was confirmed or it was read back. */
    public Authority onWritten() {
        if (pending == null) {
            return this;
        }
        return with(pending, null, leaseEnd, pendingBinds ? Lease.BOUND : lease, false);
    }

    /** Records that the pending record was not written and can no longer be. */
    public Authority onNotWritten() {
        return with(confirmed, null, leaseEnd, lease, false);
    }

    private Authority with(
            AuthorityRecord nextConfirmed,
            AuthorityRecord sent,
            long end,
            Lease state,
            boolean nextBinds) {
        return new Authority(timeouts, self, nextConfirmed, sent, end, state, nextBinds, promises);
    }

    /** Ends the authority: the record in force is closed or belongs to another run. */
    public Authority onClosed() {
        return none(self, timeouts);
    }

    /** Records a witness's promise for a term, by a request sent at the given time. */
    public Authority onPromise(DaemonRun witness, long term, long sent) {
        Map<PromiseKey, Long> next = new TreeMap<>(promises);
        next.put(new PromiseKey(witness, term), sent + timeouts.promise().toNanos());
        next.keySet().removeIf(each -> isOutdated(each.term()));
        return new Authority(
                timeouts, self, confirmed, pending, leaseEnd, lease, pendingBinds, next);
    }

    /**
     * Discards expired promises and an expired lease end. The results of {@link #mayGrant} and
     * {@link #end} for this time and later ones do not change.
     */
    public Authority expire(long now) {
        Map<PromiseKey, Long> next = new TreeMap<>(promises);
        next.values().removeIf(end -> end - now <= 0);
        long end = leaseEnd - now > 0 ? leaseEnd : now;
        if (next.equals(promises) && end == leaseEnd) {
            return this;
        }
        return new Authority(timeouts, self, confirmed, pending, end, lease, pendingBinds, next);
    }

    private boolean isOutdated(long term) {
        return confirmed != null && term < confirmed.term();
    }

    /** Returns whether slots may be granted at the given time. */
    public boolean mayGrant(long now) {
        if (confirmed == null) {
            return false;
        }
        if (lease == Lease.BOUND && now - leaseEnd < 0) {
            return true;
        }
        return hasPromises(confirmed, now) && (pending == null || hasPromises(pending, now));
    }

    /** Returns the time until which slots may be granted; {@code now} if none may be granted. */
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

    /**
     * Returns the time until which promises of a majority of the record's witnesses last; {@code
     * now} if no majority has promised.
     */
    private long promisedEnd(AuthorityRecord record, long now) {
        List<Long> remaining = new ArrayList<>();
        for (DaemonRun each : record.witnesses().runs()) {
            Long end = promises.get(new PromiseKey(each, record.term()));
            if (end != null) {
                remaining.add(end - now);
            }
        }
        int majority = record.witnesses().majority();
        if (remaining.size() < majority) {
            return now;
        }
        remaining.sort(Collections.reverseOrder());
        return now + Math.max(0, remaining.get(majority - 1));
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
                && pendingBinds == that.pendingBinds
                && promises.equals(that.promises);
    }

    @Override
    public int hashCode() {
        return Objects.hash(self, confirmed, pending, leaseEnd, lease, pendingBinds, promises);
    }

    @Override
    public String toString() {
        return "%s %s, pending %s, lease %s to %d, promises %s"
                .formatted(self, confirmed, pending, lease, leaseEnd, promises);
    }
}
