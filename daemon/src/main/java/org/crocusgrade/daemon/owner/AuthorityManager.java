package org.crocusgrade.daemon.owner;

import com.google.common.flogger.FluentLogger;
import java.time.Duration;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.BiConsumer;
import java.util.function.Supplier;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.Region;
import org.crocusgrade.core.member.Authority;
import org.crocusgrade.core.member.AuthorityCodec;
import org.crocusgrade.core.member.AuthorityRecord;
import org.crocusgrade.core.member.DaemonRun;
import org.crocusgrade.core.member.MemberException;
import org.crocusgrade.core.member.MemberRecord;
import org.crocusgrade.core.member.OwnershipTimeouts;
import org.crocusgrade.core.member.WitnessSet;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.core.port.StoreException;
import org.crocusgrade.daemon.control.FleetSnapshot;
import org.crocusgrade.daemon.control.MemberSession;
import org.crocusgrade.daemon.link.OwnershipMessages;
import org.crocusgrade.peer.proto.Envelope;
import org.crocusgrade.peer.proto.PromiseReplyMessage;

/**
 * Maintains this daemon's authority to own racks, on the control thread: writes its authority
 * record after each new lease and when its witness set changes, and requests promises from the
 * witnesses while the lease is not being renewed.
 *
 * <p>A write whose answer was lost is repeated unchanged until it is known to have taken effect, so
 * at any time at most two records can be in force. If another daemon has closed the record, a new
 * authority starts under a new boot id, and the racks owned under the old one are no longer owned
 * by this daemon.
 */
public final class AuthorityManager implements MemberSession.Listener {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** Promises are requested once less than this remains of the lease. */
    private static final Duration PROMISE_THRESHOLD = Duration.ofSeconds(2);

    private static final Duration REQUEST_PERIOD = Duration.ofMillis(500);
    private static final Duration WRITE_PERIOD = Duration.ofMillis(500);

    private final DaemonRun process;
    private final Region region;
    private final OwnershipTimeouts timeouts;
    private final KeyValueStore store;
    private final Clock clock;
    private final Executor control;
    private final Supplier<FleetSnapshot> fleet;
    private final WitnessService witnessService;
    private final BiConsumer<DaemonId, Envelope> sender;
    private Authority authority;
    private int incarnation;
    private boolean writeInProgress;
    private boolean leaving;
    private long lastRequestNanos;
    private long lastWriteNanos;
    private long leaseEndNanos;

    /** Creates a manager that has no authority yet. */
    public AuthorityManager(
            DaemonRun process,
            Region region,
            OwnershipTimeouts timeouts,
            KeyValueStore store,
            Clock clock,
            Executor control,
            Supplier<FleetSnapshot> fleet,
            WitnessService witnessService,
            BiConsumer<DaemonId, Envelope> sender) {
        this.process = process;
        this.region = region;
        this.timeouts = timeouts;
        this.store = store;
        this.clock = clock;
        this.control = control;
        this.fleet = fleet;
        this.witnessService = witnessService;
        this.sender = sender;
        authority = Authority.none(process, timeouts);
        long now = clock.nanoTime();
        lastRequestNanos = now - REQUEST_PERIOD.toNanos();
        lastWriteNanos = now - WRITE_PERIOD.toNanos();
        leaseEndNanos = now;
    }

    /** Returns the daemon and boot id under which racks are owned now. */
    public DaemonRun run() {
        return authority.self();
    }

    /**
     * Returns whether racks may be taken: the lease is valid, and the record was written under it.
     */
    public boolean mayTake(long now) {
        return !leaving && authority.isBound() && leaseEndNanos - now > 0;
    }

    /** Returns the {@code nanoTime} until which slots may be granted. */
    public long end(long now) {
        return authority.end(now);
    }

    @Override
    public void onLease(long sent) {
        authority = authority.onLease(sent);
        leaseEndNanos = sent + timeouts.leaseNanos();
    }

    @Override
    public void onLeaseLost() {
        authority = authority.onLeaseLost();
    }

    /** Writes the record and requests promises where that is due. */
    public void tick(long now) {
        authority = authority.expire(now);
        if (!writeInProgress && needsWrite(now)) {
            writeInProgress = true;
            lastWriteNanos = now;
            store.get(AuthorityRecord.key(process.daemon()))
                    .emitOn(control)
                    .subscribe()
                    .with(this::onRead, failure -> writeInProgress = false);
        }
        boolean nearExpiry = leaseEndNanos - now < PROMISE_THRESHOLD.toNanos();
        if (nearExpiry && now - lastRequestNanos >= REQUEST_PERIOD.toNanos()) {
            lastRequestNanos = now;
            authority.confirmed().ifPresent(this::requestPromises);
            authority.pending().ifPresent(this::requestPromises);
        }
    }

    /**
     * Handles the answer of a witness; ignored if it was refused or requested for another boot id.
     */
    public void onPromiseReply(DaemonId from, BootId boot, PromiseReplyMessage message) {
        boolean forThisAuthority = message.getRun().equals(run().boot().value());
        boolean sentEarlier = clock.nanoTime() - message.getAsked() >= 0;
        if (message.getGiven() && forThisAuthority && sentEarlier) {
            DaemonRun witness = new DaemonRun(from, boot);
            authority = authority.onPromise(witness, message.getTerm(), message.getAsked());
        }
    }

    /**
     * Ends the authority at a planned stop and closes the record, so that other daemons can take
     * the remaining racks without requesting fences.
     */
    public void leave() {
        leaving = true;
        Optional<AuthorityRecord> confirmed = authority.confirmed();
        authority = authority.onClosed();
        if (confirmed.isEmpty()) {
            return;
        }
        String key = AuthorityRecord.key(process.daemon());
        store.get(key)
                .map(entry -> entry.filter(e -> isRecord(e, confirmed.get())))
                .onItem()
                .ifNotNull()
                .transformToUni(
                        entry ->
                                store.compareAndSet(
                                        key,
                                        entry.orElseThrow().revision(),
                                        AuthorityCodec.encode(confirmed.get().close()),
                                        Optional.empty()))
                .subscribe()
                .with(
                        done -> {},
                        failure ->
                                logger.atFine().log(
                                        "owner: cannot close the authority record: %s", failure));
    }

    private static boolean isRecord(StoreEntry entry, AuthorityRecord record) {
        return Arrays.equals(entry.value(), AuthorityCodec.encode(record));
    }

    private boolean needsWrite(long now) {
        boolean registered = isMember(fleet.get());
        if (leaving || !registered || !authority.hasLease()) {
            return false;
        }
        if (now - lastWriteNanos < WRITE_PERIOD.toNanos()) {
            return false;
        }
        boolean settled = authority.isBound() && authority.pending().isEmpty();
        return !settled || !authority.confirmed().get().witnesses().equals(desiredWitnesses());
    }

    private boolean isMember(FleetSnapshot snapshot) {
        MemberRecord self = snapshot.members().get(process.daemon());
        return self != null && self.boot().equals(process.boot());
    }

    /**
     * Returns the witnesses that the record should name: this region's members that follow this
     * daemon in a ring ordered by id.
     */
    private WitnessSet desiredWitnesses() {
        List<DaemonRun> preceding = new ArrayList<>();
        List<DaemonRun> following = new ArrayList<>();
        List<MemberRecord> members = new ArrayList<>(fleet.get().members().values());
        members.sort(Comparator.comparing(MemberRecord::daemon));
        for (MemberRecord member : members) {
            if (member.region().equals(region)) {
                boolean precedes = member.daemon().compareTo(process.daemon()) < 0;
                (precedes ? preceding : following)
                        .add(new DaemonRun(member.daemon(), member.boot()));
            }
        }
        following.addAll(preceding);
        return WitnessSet.of(process, following);
    }

    private void onRead(Optional<StoreEntry> entry) {
        long revision = entry.map(StoreEntry::revision).orElse(KeyValueStore.ABSENT);
        try {
            Optional<AuthorityRecord> read = Optional.empty();
            if (entry.isPresent()) {
                read = Optional.of(AuthorityCodec.decode(entry.get().value()));
            }
            reconcile(read, revision);
        } catch (MemberException e) {
            writeInProgress = false;
            logger.atWarning().withCause(e).log(
                    "owner: cannot decode this daemon's authority record");
        }
    }

    private void reconcile(Optional<AuthorityRecord> read, long revision) {
        Optional<AuthorityRecord> pending = authority.pending();
        if (pending.isPresent() && read.equals(pending)) {
            authority = authority.onWritten();
            writeInProgress = false;
            return;
        }
        if (authority.confirmed().isPresent()) {
            if (isOlder(read, authority.confirmed().get())) {
                writeInProgress = false;
                return;
            }
            if (!read.equals(authority.confirmed())) {
                restartAuthority();
                pending = Optional.empty();
            }
        }
        if (pending.isPresent()) {
            writeRecord(pending.get(), revision, true);
            return;
        }
        WitnessSet witnesses = desiredWitnesses();
        AuthorityRecord next =
                read.map(record -> record.next(run(), witnesses))
                        .orElseGet(
                                () ->
                                        new AuthorityRecord(
                                                run(), 1, AuthorityRecord.State.OPEN, witnesses));
        authority = authority.onWrite(next);
        writeRecord(next, revision, false);
    }

    private static boolean isOlder(Optional<AuthorityRecord> read, AuthorityRecord confirmed) {
        return read.isEmpty() || read.get().term() < confirmed.term();
    }

    private void restartAuthority() {
        incarnation++;
        BootId boot = new BootId(process.boot().value() + "." + incarnation);
        logger.atWarning().log(
                "owner: the authority record was closed by another daemon; restarting as %s", boot);
        boolean hadLease = authority.hasLease();
        authority = Authority.none(new DaemonRun(process.daemon(), boot), timeouts);
        if (hadLease) {
            authority = authority.onLease(leaseEndNanos - timeouts.leaseNanos());
        }
    }

    private void writeRecord(AuthorityRecord record, long revision, boolean repeated) {
        store.compareAndSet(
                        AuthorityRecord.key(process.daemon()),
                        revision,
                        AuthorityCodec.encode(record),
                        Optional.empty())
                .emitOn(control)
                .subscribe()
                .with(
                        written -> {
                            writeInProgress = false;
                            authority = authority.onWritten();
                        },
                        failure -> {
                            writeInProgress = false;
                            if (!repeated && isNotWritten(failure)) {
                                authority = authority.onNotWritten();
                            }
                        });
    }

    private static boolean isNotWritten(Throwable failure) {
        return failure instanceof StoreException e && e.kind() != StoreException.Kind.ANSWER_LOST;
    }

    private void requestPromises(AuthorityRecord record) {
        for (DaemonRun witness : record.witnesses().runs()) {
            long sentNanos = clock.nanoTime();
            if (!witness.daemon().equals(process.daemon())) {
                sender.accept(
                        witness.daemon(),
                        OwnershipMessages.promiseRequest(run(), record.term(), sentNanos));
            } else if (witnessService.promise(run(), record.term())) {
                authority = authority.onPromise(witness, record.term(), sentNanos);
            }
        }
    }
}
