package org.crocusgrade.daemon.batch;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.Optional;
import org.crocusgrade.core.port.LeaseId;
import org.crocusgrade.core.port.StoreException;
import org.crocusgrade.core.port.StoreTransaction;
import org.crocusgrade.daemon.log.Event;

/** This daemon's lease in the platform's store, and its entry in the list of daemons. */
final class DaemonLease {
    /** How long a daemon's lease lives: a take-over must end before the leases of runs do. */
    private static final Duration LEASE = Duration.ofMillis(2000);

    /** The time between renewals, so that two may be lost, in milliseconds. */
    private static final long RENEWAL_MILLIS = 600;

    /** The pause after a failed call, in milliseconds. */
    private static final long RETRY_MILLIS = 250;

    private final Runtime runtime;
    private final String key;
    private final byte[] record;
    private final Runnable onEnded;
    private Optional<LeaseId> lease = Optional.empty();
    private long confirmedNanos;
    private long registeredNanos;
    private boolean registered;
    private boolean stopped;
    private boolean storeLost;

    /**
     * Makes a lease; {@link #start} asks for it.
     *
     * @param key the daemon's key in the list of daemons
     * @param record what the list says of it
     * @param onEnded is run when the store has ended the lease
     */
    DaemonLease(Runtime runtime, String key, byte[] record, Runnable onEnded) {
        this.runtime = runtime;
        this.key = key;
        this.record = record;
        this.onEnded = onEnded;
    }

    void start() {
        grant();
    }

    /** Returns the lease, while the daemon is registered. */
    LeaseId id() {
        return lease.orElseThrow();
    }

    /** Returns whether the daemon has been in the list of daemons for a time. */
    boolean isRegisteredFor(Duration time) {
        return registered
                && lease.isPresent()
                && runtime.clock().nanoTime() - registeredNanos >= time.toNanos();
    }

    /** Returns whether the store has confirmed the lease within a time. */
    boolean isConfirmedWithin(Duration age) {
        return lease.isPresent() && runtime.clock().nanoTime() - confirmedNanos <= age.toNanos();
    }

    /** Leaves the list of daemons and renews no more. */
    void release() {
        stopped = true;
        runtime.store()
                .get(key)
                .onItem()
                .transformToUni(
                        e ->
                                e.isEmpty()
                                        ? Uni.createFrom().voidItem()
                                        : runtime.store().delete(key, e.get().revision()))
                .subscribe()
                .with(v -> {}, f -> onCallFailed("leave", f));
    }

    private void grant() {
        if (stopped) {
            return;
        }
        long asked = runtime.clock().nanoTime();
        Duration time =
                LEASE.compareTo(runtime.limits().minStoreLease()) > 0
                        ? LEASE
                        : runtime.limits().minStoreLease();
        runtime.store()
                .grantLease(time)
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        l -> {
                            lease = Optional.of(l);
                            confirm(asked);
                            register(l);
                            runtime.after(RENEWAL_MILLIS, () -> renew(l));
                        },
                        f -> {
                            onCallFailed("grant", f);
                            runtime.after(RETRY_MILLIS, this::grant);
                        });
    }

    private void register(LeaseId granted) {
        if (stopped || !lease.equals(Optional.of(granted))) {
            return;
        }
        StoreTransaction change = StoreTransaction.builder().put(key, record, granted).build();
        runtime.store()
                .commit(change)
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        r -> {
                            if (!registered) {
                                registered = true;
                                registeredNanos = runtime.clock().nanoTime();
                            }
                        },
                        f -> {
                            onCallFailed("register", f);
                            runtime.after(RETRY_MILLIS, () -> register(granted));
                        });
    }

    /** Renews at a steady pace, so that one call without an answer does not cost the lease. */
    private void renew(LeaseId held) {
        if (stopped || !lease.equals(Optional.of(held))) {
            return;
        }
        runtime.after(RENEWAL_MILLIS, () -> renew(held));
        long asked = runtime.clock().nanoTime();
        runtime.store()
                .renewLease(held)
                .emitOn(runtime.loop())
                .subscribe()
                .with(v -> confirm(asked), f -> onRenewalFailed(held, f));
    }

    private void onRenewalFailed(LeaseId held, Throwable failure) {
        boolean lost =
                failure instanceof StoreException e && e.kind() == StoreException.Kind.LEASE_LOST;
        if (!lost) {
            onCallFailed("renew", failure);
            return;
        }
        if (!lease.equals(Optional.of(held))) {
            return;
        }
        lease = Optional.empty();
        onEnded.run();
        grant();
    }

    /** Takes a call that proves the lease, by the time when it was made. */
    void confirm(long askedNanos) {
        confirmedNanos = Math.max(confirmedNanos, askedNanos);
        if (storeLost) {
            storeLost = false;
            runtime.log().log(Event.DEPENDENCY_REGAINED, "dependency", "store");
        }
    }

    /** Takes a call to the store that failed; the first of a row is logged. */
    void onCallFailed(String call, Throwable failure) {
        if (!storeLost) {
            storeLost = true;
            runtime.log().log(
                    Event.DEPENDENCY_LOST,
                    "dependency",
                    "store",
                    "call",
                    call,
                    "cause",
                    failure.getMessage());
        }
    }
}
