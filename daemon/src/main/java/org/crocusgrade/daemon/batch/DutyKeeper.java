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
 * Keeps the duties that hang on this daemon's lease in the platform's store.
 *
 * <p>A duty without a holder is claimed by one transaction that demands the absence of the holder's
 * key. Who claims first is a matter of rank: daemons with fewer duties come first, then rendezvous
 * hashing decides, and each rank waits a little longer, so that one claim is the rule and a race
 * costs nothing but a refused call. A daemon that was restarted takes back at once what its former
 * incarnation still seems to hold, since a host runs one such process at a time.
 */
final class DutyKeeper {
    /** The pause after a failed call, in milliseconds. */
    private static final long RETRY_MILLIS = 250;

    /** The time that each rank waits longer before it claims, in milliseconds. */
    private static final long RANK_MILLIS = 120;

    /** The time between looks for duties without holder, in milliseconds. */
    private static final long CLAIM_MILLIS = 100;

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Runtime runtime;
    private final DaemonId self;
    private final BootId boot;
    private final DaemonLease lease;
    private final Duration settleTime;
    private final Listener listener;
    private final PrefixWatcher watcher;
    private final Map<Duty, Tenure> tenures = new TreeMap<>();
    private final Set<Long> lostTokens = new HashSet<>();
    private final Map<Duty, Long> missingSince = new HashMap<>();
    private final Set<Duty> claiming = new HashSet<>();
    private Map<String, StoreEntry> entries = Map.of();
    private Map<DaemonId, Instant> started = Map.of();
    private Map<Duty, Holder> holders = Map.of();
    private Set<Duty> wanted = Set.of();
    private boolean stopped;

    /**
     * Makes a keeper; {@link #start} makes it register.
     *
     * @param settleTime how long after its registration this daemon claims nothing, so that daemons
     *     that start together find each other first
     */
    DutyKeeper(
            Runtime runtime,
            DaemonId self,
            BootId boot,
            String zone,
            InetSocketAddress peerAddress,
            Duration settleTime,
            Listener listener) {
        this.runtime = runtime;
        this.self = self;
        this.boot = boot;
        this.settleTime = settleTime;
        this.listener = listener;
        byte[] record =
                StoredDaemon.newBuilder()
                        .setBoot(boot.value())
                        .setAddress(Addresses.format(peerAddress))
                        .setZone(zone)
                        .setStartedEpochMs(runtime.clock().now().toEpochMilli())
                        .build()
                        .toByteArray();
        lease = new DaemonLease(runtime, StoreKeys.daemon(self), record, this::onLeaseEnded);
        watcher = runtime.watcher(StoreKeys.COORDINATION, Duration.ZERO, this::onEntries);
    }

    void start() {
        watcher.start();
        lease.start();
        runtime.every(CLAIM_MILLIS, this::claimMissing);
    }

    /** Sets which duties somebody must hold. */
    void setWanted(Set<Duty> duties) {
        wanted = new TreeSet<>(duties);
    }

    /** Returns the daemon that holds a duty, as far as this one knows. */
    Optional<DaemonId> holder(Duty duty) {
        if (tenures.containsKey(duty)) {
            return Optional.of(self);
        }
        return Optional.ofNullable(holders.get(duty)).map(Holder::daemon);
    }

    /** Returns the entries that daemons share, by key. */
    Map<String, StoreEntry> entries() {
        return entries;
    }

    /** Returns whether the store has confirmed this daemon's lease within a time. */
    boolean isConfirmedWithin(Duration age) {
        return lease.isConfirmedWithin(age);
    }

    /** Gives a duty up because another daemon holds it, or may. */
    void lose(Duty duty, String reason) {
        Tenure tenure = tenures.remove(duty);
        if (tenure == null) {
            return;
        }
        lostTokens.add(tenure.token());
        runtime.log().log(Event.DUTY_LOST, "duty", duty, "token", tenure.token(), "reason", reason);
        listener.onLost(tenure);
    }

    /** Hands all duties back and leaves the list of daemons. */
    void release() {
        stopped = true;
        for (Tenure tenure : List.copyOf(tenures.values())) {
            release(tenure);
        }
        lease.release();
    }

    private void onLeaseEnded() {
        for (Duty duty : List.copyOf(tenures.keySet())) {
            lose(duty, "lease ended");
        }
    }

    private void release(Tenure tenure) {
        StoreTransaction.Builder change =
                StoreTransaction.builder()
                        .expect(tenure.key(), tenure.token())
                        .delete(tenure.key());
        listener.noteForNext(tenure).ifPresent(n -> change.put(StoreKeys.FLEET_NOTE, n));
        lose(tenure.duty(), "handed back");
        runtime.store()
                .commit(change.build())
                .subscribe()
                .with(v -> {}, f -> lease.onCallFailed("release " + tenure.duty(), f));
    }

    private void onEntries(Map<String, StoreEntry> now) {
        entries = now;
        Map<DaemonId, InetSocketAddress> found = new TreeMap<>();
        Map<DaemonId, Instant> starts = new TreeMap<>();
        Map<Duty, Holder> held = new TreeMap<>();
        for (StoreEntry entry : now.values()) {
            read(entry, found, starts, held);
        }
        started = starts;
        holders = held;
        listener.onDaemons(found);
        for (Tenure tenure : List.copyOf(tenures.values())) {
            Holder holder = held.get(tenure.duty());
            if (holder != null && holder.revision > tenure.token()) {
                lose(tenure.duty(), "taken by " + holder.daemon);
            }
        }
        held.forEach(this::adopt);
        claimMissing();
    }

    private void read(
            StoreEntry entry,
            Map<DaemonId, InetSocketAddress> found,
            Map<DaemonId, Instant> starts,
            Map<Duty, Holder> held) {
        try {
            if (entry.key().startsWith(StoreKeys.DAEMONS)) {
                String name = entry.key().substring(StoreKeys.DAEMONS.length());
                StoredDaemon daemon = StoredDaemon.parseFrom(entry.value());
                found.put(new DaemonId(name), Addresses.parse(daemon.getAddress()));
                starts.put(new DaemonId(name), Instant.ofEpochMilli(daemon.getStartedEpochMs()));
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
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            runtime.log().log(Event.RECORD_UNREADABLE, "key", entry.key(), "cause", e);
        }
    }

    /** A claim whose answer was lost shows in the list of holders. */
    private void adopt(Duty duty, Holder holder) {
        boolean mine = holder.daemon.equals(self) && holder.boot.equals(boot.value());
        if (mine && !tenures.containsKey(duty) && !lostTokens.contains(holder.revision)) {
            gain(duty, holder.revision);
        }
    }

    private void gain(Duty duty, long token) {
        if (stopped || tenures.containsKey(duty) || lostTokens.contains(token)) {
            return;
        }
        Tenure tenure = new Tenure(duty, StoreKeys.holder(duty), token, Math.max(1, term(duty)));
        tenures.put(duty, tenure);
        missingSince.remove(duty);
        runtime.log().log(Event.DUTY_GAINED, "duty", duty, "token", token, "term", tenure.term());
        listener.onGained(tenure);
    }

    private void claimMissing() {
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
            if (holder != null && !formerSelf || tenures.containsKey(duty)) {
                missingSince.remove(duty);
                continue;
            }
            long since = missingSince.computeIfAbsent(duty, d -> now);
            long wait = formerSelf ? 0 : rank(duty) * RANK_MILLIS * NANOS_PER_MILLI;
            if (now - since >= wait && claiming.add(duty)) {
                claim(duty, formerSelf ? holder.revision : KeyValueStore.ABSENT);
            }
        }
    }

    /** Returns this daemon's place among those that may claim a duty, counted from 0. */
    private int rank(Duty duty) {
        List<DaemonId> busy = holders.values().stream().map(Holder::daemon).toList();
        List<DaemonId> ranked = DutyRank.order(duty.name(), started, busy, runtime.clock().now());
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
        long asked = runtime.clock().nanoTime();
        runtime.store()
                .commit(change)
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        r -> onClaimed(duty, r, asked, term),
                        f -> {
                            lease.onCallFailed("claim " + duty, f);
                            runtime.after(RETRY_MILLIS, () -> claiming.remove(duty));
                        });
    }

    private void onClaimed(Duty duty, CommitResult result, long asked, byte[] term) {
        claiming.remove(duty);
        if (!result.applied()) {
            result.current().values().forEach(watcher::written);
            return;
        }
        lease.confirm(asked);
        watcher.written(new StoreEntry(StoreKeys.term(duty), result.revision(), term));
        gain(duty, result.revision());
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

    /** Gets what changes of the duties and the daemons. */
    interface Listener {
        /** This daemon holds a duty from now on. */
        void onGained(Tenure tenure);

        /** This daemon no longer holds a duty. */
        void onLost(Tenure tenure);

        /** Returns what the next holder should know when this daemon hands a duty back. */
        Optional<byte[]> noteForNext(Tenure tenure);

        /** The daemons that run, with their addresses for each other. */
        void onDaemons(Map<DaemonId, InetSocketAddress> daemons);
    }

    private record Holder(DaemonId daemon, String boot, long revision) {}
}
