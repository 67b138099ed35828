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
 * Keeps this daemon's right to own racks, on the control thread: writes its authority record after
 * each new lease and when its witnesses change, and asks the witnesses for promises while the lease
 * is not renewed. A write whose answer is lost is repeated unchanged until it is known to be in
 * force, so at any time only two records can be. When another daemon has closed the record, the
 * right starts anew under another run's name, and the racks of the old one are no longer its own.
 */
public final class AuthorityKeeper implements MemberSession.Listener {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();

    /** With less of the lease left than this, promises are asked for. */
    private static final Duration ASK_BELOW = Duration.ofSeconds(2);

    private static final Duration ASK_PERIOD = Duration.ofMillis(500);
    private static final Duration WRITE_PERIOD = Duration.ofMillis(500);

    private final DaemonRun process;
    private final Region region;
    private final OwnershipTimeouts times;
    private final KeyValueStore store;
    private final Clock clock;
    private final Executor control;
    private final Supplier<FleetSnapshot> fleet;
    private final WitnessDesk desk;
    private final BiConsumer<DaemonId, Envelope> sender;
    private Authority authority;
    private int incarnation;
    private boolean busy;
    private boolean leaving;
    private long askedNanos;
    private long wroteNanos;
    private long leaseEndNanos;

    /** Makes a keeper without a right. */
    public AuthorityKeeper(
            DaemonRun process,
            Region region,
            OwnershipTimeouts times,
            KeyValueStore store,
            Clock clock,
            Executor control,
            Supplier<FleetSnapshot> fleet,
            WitnessDesk desk,
            BiConsumer<DaemonId, Envelope> sender) {
        this.process = process;
        this.region = region;
        this.times = times;
        this.store = store;
        this.clock = clock;
        this.control = control;
        this.fleet = fleet;
        this.desk = desk;
        this.sender = sender;
        authority = Authority.none(process, times);
        long now = clock.nanoTime();
        askedNanos = now - ASK_PERIOD.toNanos();
        wroteNanos = now - WRITE_PERIOD.toNanos();
        leaseEndNanos = now;
    }

    /** Returns the run under which racks are owned now. */
    public DaemonRun run() {
        return authority.self();
    }

    /** Returns whether racks may be taken: the lease is held and the record written since. */
    public boolean mayTake(long now) {
        return !leaving && authority.isBound() && leaseEndNanos - now > 0;
    }

    /** Returns the time up to which slots may be granted. */
    public long end(long now) {
        return authority.end(now);
    }

    @Override
    public void onLease(long sent) {
        authority = authority.onLease(sent);
        leaseEndNanos = sent + times.leaseNanos();
    }

    @Override
    public void onLeaseLost() {
        authority = authority.onLeaseLost();
    }

    /** Does what is due. */
    public void tick(long now) {
        authority = authority.expire(now);
        if (!busy && needsWrite(now)) {
            busy = true;
            wroteNanos = now;
            store.get(AuthorityRecord.key(process.daemon()))
                    .emitOn(control)
                    .subscribe()
                    .with(this::onRead, failure -> busy = false);
        }
        boolean low = leaseEndNanos - now < ASK_BELOW.toNanos();
        if (low && now - askedNanos >= ASK_PERIOD.toNanos()) {
            askedNanos = now;
            authority.confirmed().ifPresent(this::ask);
            authority.pending().ifPresent(this::ask);
        }
    }

    /** Takes a witness's answer. */
    public void onPromiseReply(DaemonId from, BootId boot, PromiseReplyMessage message) {
        boolean mine = message.getRun().equals(run().boot().value());
        boolean past = clock.nanoTime() - message.getAsked() >= 0;
        if (message.getGiven() && mine && past) {
            DaemonRun witness = new DaemonRun(from, boot);
            authority = authority.onPromise(witness, message.getTerm(), message.getAsked());
        }
    }

    /** Ends the right at a planned stop, so that what is left can be taken without fences. */
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
                .with(done -> {}, failure -> logger.atFine().log("owner: leaving: %s", failure));
    }

    private static boolean isRecord(StoreEntry entry, AuthorityRecord record) {
        return Arrays.equals(entry.value(), AuthorityCodec.encode(record));
    }

    private boolean needsWrite(long now) {
        boolean known = isMember(fleet.get());
        if (leaving || !known || !authority.hasLease()) {
            return false;
        }
        if (now - wroteNanos < WRITE_PERIOD.toNanos()) {
            return false;
        }
        boolean settled = authority.isBound() && authority.pending().isEmpty();
        return !settled || !authority.confirmed().get().witnesses().equals(wanted());
    }

    private boolean isMember(FleetSnapshot snapshot) {
        MemberRecord self = snapshot.members().get(process.daemon());
        return self != null && self.boot().equals(process.boot());
    }

    /** The members of the region that follow this daemon in the order of their names, in a ring. */
    private WitnessSet wanted() {
        List<DaemonRun> before = new ArrayList<>();
        List<DaemonRun> after = new ArrayList<>();
        List<MemberRecord> members = new ArrayList<>(fleet.get().members().values());
        members.sort(Comparator.comparing(MemberRecord::daemon));
        for (MemberRecord each : members) {
            if (each.region().equals(region)) {
                boolean isBefore = each.daemon().compareTo(process.daemon()) < 0;
                (isBefore ? before : after).add(new DaemonRun(each.daemon(), each.boot()));
            }
        }
        after.addAll(before);
        return WitnessSet.of(process, after);
    }

    private void onRead(Optional<StoreEntry> entry) {
        long revision = entry.map(StoreEntry::revision).orElse(KeyValueStore.ABSENT);
        try {
            Optional<AuthorityRecord> read = Optional.empty();
            if (entry.isPresent()) {
                read = Optional.of(AuthorityCodec.decode(entry.get().value()));
            }
            decide(read, revision);
        } catch (MemberException e) {
            busy = false;
            logger.atWarning().withCause(e).log("owner: cannot read this daemon's authority");
        }
    }

    private void decide(Optional<AuthorityRecord> read, long revision) {
        Optional<AuthorityRecord> pending = authority.pending();
        if (pending.isPresent() && read.equals(pending)) {
            authority = authority.onWritten();
            busy = false;
            return;
        }
        if (authority.confirmed().isPresent()) {
            if (isOlder(read, authority.confirmed().get())) {
                busy = false;
                return;
            }
            if (!read.equals(authority.confirmed())) {
                startAnew();
                pending = Optional.empty();
            }
        }
        if (pending.isPresent()) {
            send(pending.get(), revision, true);
            return;
        }
        WitnessSet witnesses = wanted();
        AuthorityRecord next =
                read.map(record -> record.next(run(), witnesses))
                        .orElseGet(
                                () ->
                                        new AuthorityRecord(
                                                run(), 1, AuthorityRecord.State.OPEN, witnesses));
        authority = authority.onWrite(next);
        send(next, revision, false);
    }

    private static boolean isOlder(Optional<AuthorityRecord> read, AuthorityRecord confirmed) {
        return read.isEmpty() || read.get().term() < confirmed.term();
    }

    private void startAnew() {
        incarnation++;
        BootId boot = new BootId(process.boot().value() + "." + incarnation);
        logger.atWarning().log("owner: the right was closed, starting anew as %s", boot);
        boolean lease = authority.hasLease();
        authority = Authority.none(new DaemonRun(process.daemon(), boot), times);
        if (lease) {
            authority = authority.onLease(leaseEndNanos - times.leaseNanos());
        }
    }

    private void send(AuthorityRecord record, long revision, boolean repeated) {
        store.compareAndSet(
                        AuthorityRecord.key(process.daemon()),
                        revision,
                        AuthorityCodec.encode(record),
                        Optional.empty())
                .emitOn(control)
                .subscribe()
                .with(
                        written -> {
                            busy = false;
                            authority = authority.onWritten();
                        },
                        failure -> {
                            busy = false;
                            if (!repeated && isNotWritten(failure)) {
                                authority = authority.onNotWritten();
                            }
                        });
    }

    private static boolean isNotWritten(Throwable failure) {
        return failure instanceof StoreException e && e.kind() != StoreException.Kind.ANSWER_LOST;
    }

    private void ask(AuthorityRecord record) {
        for (DaemonRun witness : record.witnesses().runs()) {
            long asked = clock.nanoTime();
            if (!witness.daemon().equals(process.daemon())) {
                sender.accept(
                        witness.daemon(),
                        OwnershipMessages.promiseRequest(run(), record.term(), asked));
            } else if (desk.promise(run(), record.term())) {
                authority = authority.onPromise(witness, record.term(), asked);
            }
        }
    }
}
