package org.crocusgrade.daemon.control;

import com.google.common.flogger.FluentLogger;
import io.smallrye.mutiny.Uni;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.crocusgrade.core.member.MemberCodec;
import org.crocusgrade.core.member.MemberRecord;
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
    public static final Duration TIME_TO_LIVE = Duration.ofSeconds(4);

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final Duration RENEWAL = Duration.ofSeconds(1);

    private final KeyValueStore store;
    private final MemberRecord record;
    private final Clock clock;
    private final ScheduledExecutorService control;
    private volatile Held held;
    private boolean busy;
    private boolean stopped;

    /** Makes a session; {@link #start} makes it join. */
    public MemberSession(
            KeyValueStore store,
            MemberRecord record,
            Clock clock,
            ScheduledExecutorService control) {
        this.store = store;
        this.record = record;
        this.clock = clock;
        this.control = control;
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
        Uni<LeaseId> kept =
                current == null
                        ? join()
                        : store.renewLease(current.lease).replaceWith(current.lease);
        kept.emitOn(control).subscribe().with(lease -> onKept(lease, sent), this::onFailure);
    }

    private Uni<LeaseId> join() {
        return store.grantLease(TIME_TO_LIVE).chain(lease -> register(lease).replaceWith(lease));
    }

    private Uni<Long> register(LeaseId lease) {
        String key = MemberRecord.key(record.daemon());
        byte[] value = MemberCodec.encode(record);
        return store.get(key)
                .map(entry -> entry.map(StoreEntry::revision).orElse(KeyValueStore.ABSENT))
                .chain(revision -> store.compareAndSet(key, revision, value, Optional.of(lease)));
    }

    private void onKept(LeaseId lease, long sent) {
        busy = false;
        if (stopped) {
            return;
        }
        if (held == null) {
            logger.atInfo().log("member: joined as %s", record.daemon());
        }
        held = new Held(lease, sent + TIME_TO_LIVE.toNanos());
    }

    private void onFailure(Throwable failure) {
        busy = false;
        boolean lost =
                failure instanceof StoreException store
                        && store.kind() == StoreException.Kind.LEASE_LOST;
        if (lost) {
            held = null;
            logger.atWarning().log("member: lease lost, joining again");
            return;
        }
        logger.atFine().log("member: renewal failed: %s", failure.getMessage());
    }
}
