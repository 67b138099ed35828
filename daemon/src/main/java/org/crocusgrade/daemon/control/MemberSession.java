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
 * Maintains the daemon's member lease and member record. A lease is counted from before its last
 * successful grant or renewal was sent, so this daemon never considers it valid for longer than the
 * platform's service does.
 */
public final class MemberSession {
    /** Time from the last renewal to the expiry of a member lease. */
    public static final Duration TIME_TO_LIVE = OwnershipTimeouts.DEFAULT.lease();

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration RENEWAL_PERIOD = Duration.ofSeconds(1);

    private final KeyValueStore store;
    private final MemberRecord record;
    private final Clock clock;
    private final ScheduledExecutorService control;
    private final Function<LeaseId, Uni<Void>> relay;
    private final Listener listener;
    private volatile HeldLease held;
    private boolean callInProgress;
    private boolean stopped;

    /**
     * Creates a session; {@link #start} makes it join.
     *
     * @param relay renews a lease through other daemons if the platform's service cannot be reached
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

    /** Receives the events of the lease, on the control thread. */
    public interface Listener {
        /**
         * Called after the lease was granted or renewed.
         *
         * @param sentNanos the {@code nanoTime} before the call was sent
         */
        void onLease(long sentNanos);

        /**
         * Called when the platform's service reports that the lease has expired or does not exist.
         */
        void onLeaseLost();
    }

    /**
     * A lease with the earliest time at which it may expire.
     *
     * @param lease the lease
     * @param endNanos the {@code nanoTime} from which it may have expired
     */
    public record HeldLease(LeaseId lease, long endNanos) {}

    /** Starts to join and to renew the lease. */
    public void start() {
        control.scheduleWithFixedDelay(
                this::renewOrJoin, 0, RENEWAL_PERIOD.toMillis(), TimeUnit.MILLISECONDS);
    }

    /** Returns the lease if it cannot have expired yet, from any thread. */
    public Optional<HeldLease> valid() {
        HeldLease current = held;
        boolean valid = current != null && clock.nanoTime() - current.endNanos < 0;
        return valid ? Optional.of(current) : Optional.empty();
    }

    /** Revokes the lease, so that the member record is deleted immediately. */
    public Uni<Void> leave() {
        stopped = true;
        HeldLease current = held;
        held = null;
        return current == null
                ? Uni.createFrom().voidItem()
                : store.revokeLease(current.lease).onFailure().recoverWithNull();
    }

    private void renewOrJoin() {
        if (callInProgress || stopped) {
            return;
        }
        callInProgress = true;
        long sentNanos = clock.nanoTime();
        HeldLease current = held;
        Uni<HeldLease> result = current == null ? join(sentNanos) : renew(current.lease, sentNanos);
        result.emitOn(control).subscribe().with(this::onLeaseHeld, this::onFailure);
    }

    private Uni<HeldLease> renew(LeaseId lease, long sentNanos) {
        return store.renewLease(lease)
                .replaceWith(() -> sentNanos)
                .onFailure(failure -> !isLost(failure))
                .recoverWithUni(() -> renewThroughPeers(lease))
                .map(
                        renewalSentNanos ->
                                new HeldLease(lease, renewalSentNanos + TIME_TO_LIVE.toNanos()));
    }

    private Uni<Long> renewThroughPeers(LeaseId lease) {
        return Uni.createFrom()
                .deferred(
                        () -> {
                            long sentNanos = clock.nanoTime();
                            return relay.apply(lease).replaceWith(() -> sentNanos);
                        })
                .runSubscriptionOn(control);
    }

    private static boolean isLost(Throwable failure) {
        return failure instanceof StoreException e && e.kind() == StoreException.Kind.LEASE_LOST;
    }

    private Uni<HeldLease> join(long sentNanos) {
        return store.grantLease(TIME_TO_LIVE)
                .chain(lease -> register(lease).replaceWith(lease))
                .map(lease -> new HeldLease(lease, sentNanos + TIME_TO_LIVE.toNanos()));
    }

    private Uni<Long> register(LeaseId lease) {
        String key = MemberRecord.key(record.daemon());
        byte[] value = MemberCodec.encode(record);
        return store.get(key)
                .map(entry -> entry.map(StoreEntry::revision).orElse(KeyValueStore.ABSENT))
                .chain(revision -> store.compareAndSet(key, revision, value, Optional.of(lease)));
    }

    private void onLeaseHeld(HeldLease next) {
        callInProgress = false;
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
        callInProgress = false;
        if (isLost(failure)) {
            held = null;
            listener.onLeaseLost();
            logger.atWarning().log("member: lease expired, joining again");
            return;
        }
        logger.atFine().log("member: cannot join or renew the lease: %s", failure.getMessage());
    }
}
