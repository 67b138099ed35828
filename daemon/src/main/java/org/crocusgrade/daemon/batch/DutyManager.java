package org.crocusgrade.daemon.batch;

import com.google.protobuf.InvalidProtocolBufferException;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.member.DutyRank;
import org.crocusgrade.core.misc.Addresses;
import org.crocusgrade.core.port.ClockReading;
import org.crocusgrade.core.port.CommitResult;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.core.port.StoreTransaction;
import org.crocusgrade.daemon.control.PrefixWatcher;
import org.crocusgrade.daemon.log.Event;
import org.crocusgrade.peer.proto.StoredDaemon;
import org.crocusgrade.peer.proto.StoredHolder;
import org.crocusgrade.peer.proto.StoredTerm;

/**
 * Acquires and releases this daemon's duties, which are bound to its lease in the platform's store.
 *
 * <p>A duty without a holder is claimed by one transaction that requires the holder's key to be
 * absent. Daemons claim in order of rank: those with fewer duties come first, and rendezvous
 * hashing breaks ties. Each rank waits a little longer than the one before it, so usually only one
 * daemon claims, and a race costs no more than a rejected transaction. A restarted daemon
 * immediately reclaims the duties that the store still records for its former incarnation, because
 * a host runs only one such process at a time.
 */
final class DutyManager implements DutyView {
    /** Delay after a failed call, in milliseconds. */
    private static final long RETRY_MILLIS = 250;

    /** Additional delay per rank before a duty is claimed, in milliseconds. */
    private static final long RANK_DELAY_MILLIS = 120;

    /** Interval between checks for duties without a holder, in milliseconds. */
    private static final long CLAIM_CHECK_MILLIS = 100;

    /** What a daemon counts as whose record does not say how much processor time it may use. */
    private static final int UNKNOWN_MILLI_CORES = 1000;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final BatchRuntime runtime;
    private final DaemonId self;
    private final BootId boot;
    private final DaemonLease lease;
    private final Duration settleTime;
    private final Listener listener;
    private final PrefixWatcher watcher;
    private final Map<Duty, DutyOwnership> ownerships = new TreeMap<>();
    private final Set<Long> lostTokens = new HashSet<>();
    private final Map<Duty, Long> vacantSince = new HashMap<>();
    private final Set<Duty> claiming = new HashSet<>();
    private Map<String, StoreEntry> entries = Map.of();
    private Map<DaemonId, DutyRank.Candidate> candidates = Map.of();
    private Map<Duty, Holder> holders = Map.of();
    private Set<Duty> wanted = Set.of();
    private boolean stopped;

    /**
     * Creates a manager; {@link #start} registers the daemon.
     *
     * @param peerAddress the address at which other daemons reach this one
     */
    DutyManager(
            BatchRuntime runtime,
            BatchNode.Identity identity,
            InetSocketAddress peerAddress,
            Listener listener) {
        this.runtime = runtime;
        self = identity.daemon();
        boot = identity.boot();
        settleTime = identity.settleTime();
        this.listener = listener;
        byte[] record =
                StoredDaemon.newBuilder()
                        .setBoot(boot.value())
                        .setAddress(Addresses.format(peerAddress))
                        .setZone(identity.zone())
                        .setMilliCores(identity.milliCores())
                        .setStartedEpochMs(runtime.clock().now().toEpochMilli())
                        .build()
                        .toByteArray();
        lease = new DaemonLease(runtime, StoreKeys.daemon(self), record, this::onLeaseEnded);
        watcher = runtime.watcher(StoreKeys.COORDINATION, Duration.ZERO, this::onEntries);
    }

    void start() {
        watcher.start();
        lease.start();
        runtime.every(CLAIM_CHECK_MILLIS, this::claimVacant);
    }

    /** Sets the duties that must be held by some daemon. */
    void setWanted(Set<Duty> duties) {
        wanted = new TreeSet<>(duties);
    }

    /** Returns the daemon that holds a duty, according to this daemon's copy of the store. */
    Optional<DaemonId> holder(Duty duty) {
        if (ownerships.containsKey(duty)) {
            return Optional.of(self);
        }
        return Optional.ofNullable(holders.get(duty)).map(Holder::daemon);
    }

    /**
     * Returns the fencing token of a duty's latest known holder; 0 if this daemon knows of none.
     */
    long token(Duty duty) {
        DutyOwnership own = ownerships.get(duty);
        if (own != null) {
            return own.token();
        }
        Holder holder = holders.get(duty);
        return holder == null ? 0 : holder.revision;
    }

    /**
     * Returns whether this daemon's copy of the holders contains every change that the store made
     * before an ownership began. The copy changes in the order of the store's revisions.
     */
    boolean knowsHoldersSince(DutyOwnership ownership) {
        Holder holder = holders.get(ownership.duty());
        return holder != null && holder.revision >= ownership.token();
    }

    /** Returns the entries under {@link StoreKeys#COORDINATION}, by key. */
    Map<String, StoreEntry> entries() {
        return entries;
    }

    /** Returns whether the store has confirmed this daemon's lease within the given time. */
    @Override
    public boolean isConfirmedWithin(Duration age) {
        return lease.isConfirmedWithin(age);
    }

    @Override
    public boolean wasHeldAt(long nanos) {
        return lease.wasHeldAt(nanos);
    }

    /**
     * Ends the ownership of a duty in this process and notifies the listener; the store is not
     * changed.
     */
    void relinquish(Duty duty, String reason) {
        DutyOwnership ownership = ownerships.remove(duty);
        if (ownership == null) {
            return;
        }
        lostTokens.add(ownership.token());
        runtime.log().log(
                Event.DUTY_LOST, "duty", duty, "token", ownership.token(), "reason", reason);
        listener.onLost(ownership);
    }

    /** Releases all duties in the store and removes this daemon from the list of daemons. */
    void release() {
        stopped = true;
        for (DutyOwnership ownership : List.copyOf(ownerships.values())) {
            release(ownership);
        }
        lease.release();
    }

    private void onLeaseEnded() {
        for (Duty duty : List.copyOf(ownerships.keySet())) {
            relinquish(duty, "lease ended");
        }
    }

    private void release(DutyOwnership ownership) {
        StoreTransaction.Builder change =
                StoreTransaction.builder()
                        .expect(ownership.key(), ownership.token())
                        .delete(ownership.key());
        listener.stateForSuccessor(ownership)
                .ifPresent(n -> change.put(StoreKeys.FLEET_DUTY_STATE, n));
        relinquish(ownership.duty(), "released");
        runtime.store()
                .commit(change.build())
                .subscribe()
                .with(v -> {}, f -> lease.onCallFailed("release " + ownership.duty(), f));
    }

    private void onEntries(Map<String, StoreEntry> current) {
        entries = current;
        Map<DaemonId, InetSocketAddress> found = new TreeMap<>();
        Map<DaemonId, DutyRank.Candidate> listed = new TreeMap<>();
        Map<Duty, Holder> held = new TreeMap<>();
        for (StoreEntry entry : current.values()) {
            read(entry, found, listed, held);
        }
        candidates = listed;
        holders = held;
        listener.onDaemons(found);
        for (DutyOwnership ownership : List.copyOf(ownerships.values())) {
            Holder holder = held.get(ownership.duty());
            if (holder != null && holder.revision > ownership.token()) {
                relinquish(ownership.duty(), "taken by " + holder.daemon);
            }
        }
        held.forEach(this::adopt);
        claimVacant();
    }

    private void read(
            StoreEntry entry,
            Map<DaemonId, InetSocketAddress> found,
            Map<DaemonId, DutyRank.Candidate> listed,
            Map<Duty, Holder> held) {
        try {
            if (entry.key().startsWith(StoreKeys.DAEMONS)) {
                String name = entry.key().substring(StoreKeys.DAEMONS.length());
                StoredDaemon daemon = StoredDaemon.parseFrom(entry.value());
                found.put(new DaemonId(name), Addresses.parse(daemon.getAddress()));
                int milliCores =
                        daemon.getMilliCores() > 0 ? daemon.getMilliCores() : UNKNOWN_MILLI_CORES;
                Instant started = Instant.ofEpochMilli(daemon.getStartedEpochMs());
                listed.put(new DaemonId(name), new DutyRank.Candidate(started, milliCores));
            } else if (entry.key().startsWith(StoreKeys.HOLDERS)) {
                String name = entry.key().substring(StoreKeys.HOLDERS.length());
                StoredHolder holder = StoredHolder.parseFrom(entry.value());
                held.put(
                        new Duty(name),
                        new Holder(
                                new DaemonId(holder.getDaemon()),
                                holder.getBoot(),
                                entry.revision()));
            }
        } catch (InvalidProtocolBufferException | RuntimeException e) {
            runtime.log().log(Event.RECORD_UNREADABLE, "key", entry.key(), "cause", e);
        }
    }

    /**
     * Acquires a duty whose claim was applied but not answered: the store names this incarnation as
     * its holder.
     */
    private void adopt(Duty duty, Holder holder) {
        boolean mine = holder.daemon.equals(self) && holder.boot.equals(boot.value());
        if (mine && !ownerships.containsKey(duty) && !lostTokens.contains(holder.revision)) {
            acquire(duty, holder.revision);
        }
    }

    private void acquire(Duty duty, long token) {
        if (stopped || ownerships.containsKey(duty) || lostTokens.contains(token)) {
            return;
        }
        DutyOwnership ownership =
                new DutyOwnership(duty, StoreKeys.holder(duty), token, Math.max(1, term(duty)));
        ownerships.put(duty, ownership);
        vacantSince.remove(duty);
        runtime.log().log(
                Event.DUTY_GAINED, "duty", duty, "token", token, "term", ownership.term());
        listener.onAcquired(ownership);
    }

    private void claimVacant() {
        if (stopped || !lease.isRegisteredFor(settleTime)) {
            return;
        }
        long now = runtime.clock().nanoTime();
        for (Duty duty : wanted) {
            Holder holder = holders.get(duty);
            boolean formerSelf =
                    holder != null
                            && holder.daemon.equals(self)
                            && !holder.boot.equals(boot.value());
            if (holder != null && !formerSelf || ownerships.containsKey(duty)) {
                vacantSince.remove(duty);
                continue;
            }
            long since = vacantSince.computeIfAbsent(duty, d -> now);
            long wait = formerSelf ? 0 : rank(duty) * RANK_DELAY_MILLIS * NANOS_PER_MILLI;
            if (now - since >= wait && claiming.add(duty)) {
                claim(duty, formerSelf ? holder.revision : KeyValueStore.ABSENT);
            }
        }
    }

    /** Returns this daemon's rank among the candidates for a duty, counted from 0. */
    private int rank(Duty duty) {
        List<DaemonId> busy = holders.values().stream().map(Holder::daemon).toList();
        List<DaemonId> ranked =
                DutyRank.order(duty.name(), candidates, busy, runtime.clock().now());
        int place = ranked.indexOf(self);
        return place < 0 ? ranked.size() : place;
    }

    private void claim(Duty duty, long expected) {
        String key = StoreKeys.holder(duty);
        String termKey = StoreKeys.term(duty);
        StoreEntry termEntry = entries.get(termKey);
        long termRevision = termEntry == null ? KeyValueStore.ABSENT : termEntry.revision();
        byte[] holder =
                StoredHolder.newBuilder()
                        .setDaemon(self.value())
                        .setBoot(boot.value())
                        .build()
                        .toByteArray();
        byte[] term = StoredTerm.newBuilder().setTerm(term(duty) + 1).build().toByteArray();
        StoreTransaction change =
                StoreTransaction.builder()
                        .expect(key, expected)
                        .expect(termKey, termRevision)
                        .put(key, holder, lease.id())
                        .put(termKey, term)
                        .build();
        ClockReading requested = ClockReading.of(runtime.clock());
        runtime.store()
                .commit(change)
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        r -> onClaimed(duty, r, requested, term),
                        f -> {
                            lease.onCallFailed("claim " + duty, f);
                            runtime.after(RETRY_MILLIS, () -> claiming.remove(duty));
                        });
    }

    private void onClaimed(Duty duty, CommitResult result, ClockReading requested, byte[] term) {
        claiming.remove(duty);
        if (!result.applied()) {
            result.current().values().forEach(watcher::written);
            return;
        }
        lease.confirm(requested);
        watcher.written(new StoreEntry(StoreKeys.term(duty), result.revision(), term));
        acquire(duty, result.revision());
    }

    private long term(Duty duty) {
        StoreEntry entry = entries.get(StoreKeys.term(duty));
        if (entry == null) {
            return 0;
        }
        try {
            return StoredTerm.parseFrom(entry.value()).getTerm();
        } catch (InvalidProtocolBufferException e) {
            runtime.log().log(Event.RECORD_UNREADABLE, "key", entry.key(), "cause", e);
            return 0;
        }
    }

    /** Notified of changes of duties and daemons. */
    interface Listener {
        /** Called when this daemon has acquired a duty. */
        void onAcquired(DutyOwnership ownership);

        /** Called when this daemon no longer holds a duty. */
        void onLost(DutyOwnership ownership);

        /** Returns the state to store for the next holder when this daemon releases a duty. */
        Optional<byte[]> stateForSuccessor(DutyOwnership ownership);

        /** Called with the addresses at which the registered daemons reach each other. */
        void onDaemons(Map<DaemonId, InetSocketAddress> daemons);
    }

    private record Holder(DaemonId daemon, String boot, long revision) {}
}
