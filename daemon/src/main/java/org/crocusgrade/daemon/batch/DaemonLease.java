package org.crocusgrade.daemon.batch;

import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.Optional;
import org.crocusgrade.core.port.ClockReading;
import org.crocusgrade.core.port.LeaseId;
import org.crocusgrade.core.port.StoreException;
import org.crocusgrade.core.port.StoreTransaction;
import org.crocusgrade.daemon.log.Event;

/**
 * This daemon's lease in the platform's store, and its entry in the list of daemons, which is bound
 * to the lease.
 */
final class DaemonLease {
    /**
     * Time to live of a daemon's lease. A takeover of the daemon's duties must end before the
     * leases of the runs expire.
     */
    private static final Duration TIME_TO_LIVE = Duration.ofMillis(2000);

    /** By how much the store's clock may have gained on this one during the time to live. */
    private static final Duration CLOCK_MARGIN = Duration.ofMillis(100);

    /**
     * Interval between renewals, in milliseconds: two in a row may fail before the lease expires.
     */
    private static final long RENEWAL_MILLIS = 600;

    /**
     * After a longer time between two renewals the process counts as paused. Shorter than the time
     * to live: after that, another daemon may have taken the duties over.
     */
    private static final Duration MAX_RENEWAL_GAP = Duration.ofMillis(1500);

    /** Delay before a failed call is repeated, in milliseconds. */
    private static final long RETRY_MILLIS = 250;

    private final BatchRuntime runtime;
    private final String key;
    private final byte[] record;
    private final Runnable onEnded;
    private Optional<LeaseId> lease = Optional.empty();
    private Optional<ClockReading> confirmed = Optional.empty();
    private ClockReading renewed;
    private long resumedNanos;
    private long registeredNanos;
    private boolean registered;
    private boolean stopped;
    private boolean storeLost;

    /**
     * Creates the lease object; {@link #start} requests the lease.
     *
     * @param key the daemon's key in the list of daemons
     * @param record the value to store under that key
     * @param onEnded called when the store has ended the lease
     */
    DaemonLease(BatchRuntime runtime, String key, byte[] record, Runnable onEnded) {
        this.runtime = runtime;
        this.key = key;
        this.record = record;
        this.onEnded = onEnded;
        renewed = ClockReading.of(runtime.clock());
        resumedNanos = renewed.nanos();
    }

    void start() {
        grant();
    }

    /** Returns the lease; the daemon must be registered. */
    LeaseId id() {
        return lease.orElseThrow();
    }

    /**
     * Returns whether the daemon first entered the list of daemons at least the given time ago and
     * holds a lease.
     */
    boolean isRegisteredFor(Duration time) {
        return registered
                && lease.isPresent()
                && runtime.clock().nanoTime() - registeredNanos >= time.toNanos();
    }

    /**
     * Returns whether the store has confirmed the lease by a call made within the given time and
     * since the process was last paused.
     */
    boolean isConfirmedWithin(Duration age) {
        return lease.isPresent()
                && renewed.isWithin(MAX_RENEWAL_GAP, runtime.clock())
                && confirmed.filter(c -> c.isWithin(age, runtime.clock())).isPresent();
    }

    /**
     * Returns whether the store cannot have ended the lease before a time on the monotonic clock:
     * it was confirmed by a call made less than its time to live before.
     */
    boolean wasHeldAt(long nanos) {
        long certain = TIME_TO_LIVE.minus(CLOCK_MARGIN).toNanos();
        return confirmed.filter(c -> c.nanos() + certain - nanos >= 0).isPresent();
    }

    /** Removes the daemon from the list of daemons and stops renewing the lease. */
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
        ClockReading requested = ClockReading.of(runtime.clock());
        Duration time =
                TIME_TO_LIVE.compareTo(runtime.limits().minStoreLease()) > 0
                        ? TIME_TO_LIVE
                        : runtime.limits().minStoreLease();
        runtime.store()
                .grantLease(time)
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        l -> {
                            lease = Optional.of(l);
                            renewed = ClockReading.of(runtime.clock());
                            confirm(requested);
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

    /**
     * Renews at a fixed interval without waiting for earlier calls, so that a single unanswered
     * call does not let the lease expire.
     */
    private void renew(LeaseId held) {
        if (stopped || !lease.equals(Optional.of(held))) {
            return;
        }
        runtime.after(RENEWAL_MILLIS, () -> renew(held));
        ClockReading requested = ClockReading.of(runtime.clock());
        if (!renewed.isWithin(MAX_RENEWAL_GAP, runtime.clock())) {
            onResumed(requested);
        }
        renewed = requested;
        runtime.store()
                .renewLease(held)
                .emitOn(runtime.loop())
                .subscribe()
                .with(v -> confirm(requested), f -> onRenewalFailed(held, f));
    }

    /**
     * Forgets the last confirmation after a pause: another daemon may hold the duties by now, and
     * orders to a worker that was born again meanwhile would not be rejected.
     */
    private void onResumed(ClockReading now) {
        runtime.log().log(Event.PROCESS_PAUSED, "for-ms", renewed.age(runtime.clock()).toMillis());
        confirmed = Optional.empty();
        resumedNanos = now.nanos();
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

    /**
     * Records that a call to the store has confirmed the lease.
     *
     * @param requested when the call was made; the lease counts as confirmed as of then
     */
    void confirm(ClockReading requested) {
        boolean beforePause = requested.nanos() - resumedNanos < 0;
        boolean newer = confirmed.isEmpty() || requested.nanos() - confirmed.get().nanos() > 0;
        if (newer && !beforePause) {
            confirmed = Optional.of(requested);
        }
        if (storeLost) {
            storeLost = false;
            runtime.log().log(Event.DEPENDENCY_REGAINED, "dependency", "store");
        }
    }

    /** Handles a failed call to the store; only the first of a series of failures is logged. */
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
