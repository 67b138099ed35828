package org.crocusgrade.daemon.control;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.crocusgrade.core.member.MemberCodec;
import org.crocusgrade.core.member.MemberRecord;
import org.crocusgrade.core.member.OwnershipTimeouts;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.core.port.LeaseId;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.core.port.StoreException;

/**
 * Holds the daemon's member lease and entry. The lease counts from before each renewal was sent, so
 * this daemon's word on its end is never later than the platform's.
 */
public final class MemberSession {
    /** How long a member lease lasts without renewal. */
    public static final Duration TIME_TO_LIVE = OwnershipTimeouts.DEFAULT.lease();

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration RENEWAL = Duration.ofSeconds(1);

    private final KeyValueStore store;
    private final MemberRecord record;
    private final Clock clock;
    private final ScheduledExecutorService control;
    private final Function<LeaseId, Uni<Void>> relay;
    private final Listener listener;
    private volatile Held held;
    private boolean busy;
    private boolean stopped;

    /**
     * Makes a session; {@link #start} makes it join.
     *
     * @param relay renews a lease through other daemons
     */
    public MemberSession(
            KeyValueStore store,
            MemberRecord record,
            Clock clock,
            ScheduledExecutorService control,
            Function<LeaseId, Uni<Void>> relay,
            Listener listener) {
        this.relay = relay;
        this.listener = listener;
        this.store = store;
        this.record = record;
        this.clock = clock;
        this.control = control;
    }

    /** Hears of the lease, on the control thread. */
    public interface Listener {
        /** A lease was made or renewed by a call sent at the time. */
        void onLease(long sentNanos);

        /** The platform's service no longer knows the lease. */
        void onLeaseLost();
    }

    /**
     * A lease that was valid when last heard of.
     *
     * @param lease the lease
     * @param endNanos the monotonic time at which it may have lapsed
     */
    public record Held(LeaseId lease, long endNanos) {}

    /** Starts to join and to renew. */
    public void start() {
        control.scheduleWithFixedDelay(this::keep, 0, RENEWAL.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Returns the lease if it certainly has not lapsed yet, from any thread. */
    public Optional<Held> valid() {
        Held current = held;
        boolean valid = current != null && clock.nanoTime() - current.endNanos < 0;
        return valid ? Optional.of(current) : Optional.empty();
    }

    /** Ends the lease, so that the entry goes at once. */
    public Uni<Void> leave() {
        stopped = true;
        Held current = held;
        held = null;
        return current == null
                ? Uni.createFrom().voidItem()
                : store.revokeLease(current.lease).onFailure().recoverWithNull();
    }

    private void keep() {
        if (busy || stopped) {
            return;
        }
        busy = true;
        long sent = clock.nanoTime();
        Held current = held;
        Uni<Held> kept = current == null ? join(sent) : renew(current.lease, sent);
        kept.emitOn(control).subscribe().with(this::onKept, this::onFailure);
    }

    private Uni<Held> renew(LeaseId lease, long sent) {
        return store.renewLease(lease)
                .replaceWith(() -> sent)
                .onFailure(failure -> !isLost(failure))
                .recoverWithUni(() -> renewByOthers(lease))
                .map(time -> new Held(lease, time + TIME_TO_LIVE.toNanos()));
    }

    private Uni<Long> renewByOthers(LeaseId lease) {
        return Uni.createFrom()
                .deferred(
                        () -> {
                            long sent = clock.nanoTime();
                            return relay.apply(lease).replaceWith(() -> sent);
                        })
                .runSubscriptionOn(control);
    }

    private static boolean isLost(Throwable failure) {
        return failure instanceof StoreException e && e.kind() == StoreException.Kind.LEASE_LOST;
    }

    private Uni<Held> join(long sent) {
        return store.grantLease(TIME_TO_LIVE)
                .chain(lease -> register(lease).replaceWith(lease))
                .map(lease -> new Held(lease, sent + TIME_TO_LIVE.toNanos()));
    }

    private Uni<Long> register(LeaseId lease) {
        String key = MemberRecord.key(record.daemon());
        byte[] value = MemberCodec.encode(record);
        return store.get(key)
                .map(entry -> entry.map(StoreEntry::revision).orElse(KeyValueStore.ABSENT))
                .chain(revision -> store.compareAndSet(key, revision, value, Optional.of(lease)));
    }

    private void onKept(Held next) {
        busy = false;
        if (stopped) {
            return;
        }
        if (held == null) {
            logger.atInfo().log("member: joined as %s", record.daemon());
        }
        held = next;
        listener.onLease(next.endNanos - TIME_TO_LIVE.toNanos());
    }

    private void onFailure(Throwable failure) {
        busy = false;
        if (isLost(failure)) {
            held = null;
            listener.onLeaseLost();
            logger.atWarning().log("member: lease lost, joining again");
            return;
        }
        logger.atFine().log("member: renewal failed: %s", failure.getMessage());
    }
}
