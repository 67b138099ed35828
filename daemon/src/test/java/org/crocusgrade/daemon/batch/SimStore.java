package org.crocusgrade.daemon.batch;

import io.smallrye.mutiny.Uni;
import io.smallrye.mutiny.subscription.UniEmitter;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.TreeMap;
import java.util.function.Supplier;
import org.crocusgrade.core.port.CommitResult;
import org.crocusgrade.core.port.LeaseId;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.core.port.StoreException;
import org.crocusgrade.core.port.StoreException.Kind;
import org.crocusgrade.core.port.StoreTransaction;
import org.crocusgrade.core.port.TransactionalStore;
import org.crocusgrade.core.port.WatchResult;

/**
 * The simulated store of the platform, with answers that are lost, delayed or replaced by errors.
 */
final class SimStore {
    private static final long ANSWER_MILLIS = 4;
    private static final long TIMEOUT_MILLIS = 1500;

    private final SimTime time;
    private final Random random;
    private final Map<String, StoreEntry> entries = new TreeMap<>();
    private final Map<String, Long> leaseOf = new HashMap<>();
    private final Map<Long, Lease> leases = new HashMap<>();
    private final List<Change> history = new ArrayList<>();
    private final List<Watch> watches = new ArrayList<>();
    private long revision = 10;
    private long lastLease;
    private boolean down;
    private double lostShare;
    private int calls;

    SimStore(SimTime time, Random random) {
        this.time = time;
        this.random = random;
    }

    void setDown(boolean now) {
        down = now;
    }

    /**
     * Sets the share of writes that get no answer; about half of them are applied seconds later.
     */
    void setLostShare(double share) {
        lostShare = share;
    }

    void write(String key, byte[] value) {
        apply(StoreTransaction.builder().put(key, value).build());
    }

    void remove(String key) {
        apply(StoreTransaction.builder().delete(key).build());
    }

    Optional<StoreEntry> read(String key) {
        return Optional.ofNullable(entries.get(key));
    }

    /** Ends all leases and deletes their keys immediately, without notice to their holders. */
    void revokeAll() {
        for (Long lease : List.copyOf(leases.keySet())) {
            endLease(lease);
        }
    }

    Client client() {
        return new Client();
    }

    /**
     * Returns the number of calls that have arrived, except commits with a lost answer and watches.
     */
    int calls() {
        return calls;
    }

    private CommitResult apply(StoreTransaction change) {
        Map<String, StoreEntry> current = new HashMap<>();
        boolean holds = true;
        for (Map.Entry<String, Long> expected : change.expected().entrySet()) {
            StoreEntry entry = entries.get(expected.getKey());
            if (entry != null) {
                current.put(entry.key(), entry);
            }
            holds &= (entry == null ? 0 : entry.revision()) == expected.getValue();
        }
        if (!holds) {
            return new CommitResult(false, 0, current);
        }
        revision++;
        for (StoreTransaction.Write write : change.writes()) {
            StoreEntry entry = new StoreEntry(write.key(), revision, write.value());
            entries.put(write.key(), entry);
            leaseOf.remove(write.key());
            write.lease().ifPresent(l -> leaseOf.put(write.key(), l.value()));
            history.add(new Change(revision, write.key(), Optional.of(entry)));
        }
        change.deletes().forEach(this::delete);
        watches.removeIf(Watch::answer);
        return new CommitResult(true, revision, Map.of());
    }

    private void delete(String key) {
        if (entries.remove(key) != null) {
            leaseOf.remove(key);
            history.add(new Change(revision, key, Optional.empty()));
        }
    }

    private void endLease(long lease) {
        leases.remove(lease);
        revision++;
        for (Map.Entry<String, Long> entry : List.copyOf(leaseOf.entrySet())) {
            if (entry.getValue() == lease) {
                delete(entry.getKey());
            }
        }
        watches.removeIf(Watch::answer);
    }

    private void expire(long id) {
        Lease lease = leases.get(id);
        if (lease == null) {
            return;
        }
        if (time.nanoTime() >= lease.endNanos) {
            endLease(id);
        } else {
            time.at(lease.endNanos, () -> expire(id));
        }
    }

    private boolean leasesExist(StoreTransaction change) {
        return change.writes().stream()
                .allMatch(w -> w.lease().map(l -> leases.containsKey(l.value())).orElse(true));
    }

    private static final class Lease {
        private final long millis;
        private long endNanos;

        Lease(long millis) {
            this.millis = millis;
        }
    }

    private record Change(long revision, String key, Optional<StoreEntry> entry) {}

    private final class Watch {
        private final String prefix;
        private final long after;
        private final UniEmitter<? super WatchResult> emitter;
        private boolean answered;

        Watch(String prefix, long after, UniEmitter<? super WatchResult> emitter) {
            this.prefix = prefix;
            this.after = after;
            this.emitter = emitter;
        }

        boolean answer() {
            Map<String, Optional<StoreEntry>> last = new TreeMap<>();
            for (Change change : history) {
                if (change.revision > after && change.key.startsWith(prefix)) {
                    last.put(change.key, change.entry);
                }
            }
            if (!last.isEmpty()) {
                send(last);
            }
            return !last.isEmpty();
        }

        void send(Map<String, Optional<StoreEntry>> last) {
            if (answered) {
                return;
            }
            answered = true;
            List<StoreEntry> changed = new ArrayList<>();
            List<String> deleted = new ArrayList<>();
            last.forEach((key, e) -> e.ifPresentOrElse(changed::add, () -> deleted.add(key)));
            WatchResult result = new WatchResult(revision, changed, deleted);
            time.afterMillis(ANSWER_MILLIS, () -> emitter.complete(result));
        }
    }

    /** One daemon's connection to the store. */
    final class Client implements TransactionalStore {
        private boolean cut;

        void setCut(boolean now) {
            cut = now;
        }

        private <T> Uni<T> call(Supplier<T> body) {
            return Uni.createFrom()
                    .emitter(e -> time.afterMillis(ANSWER_MILLIS / 2, () -> arrive(e, body)));
        }

        private <T> void arrive(UniEmitter<? super T> emitter, Supplier<T> body) {
            calls++;
            if (cut) {
                time.afterMillis(TIMEOUT_MILLIS, () -> fail(emitter, Kind.ANSWER_LOST));
                return;
            }
            if (down) {
                fail(emitter, Kind.REFUSED);
                return;
            }
            T result = body.get();
            time.afterMillis(
                    ANSWER_MILLIS / 2,
                    () -> {
                        if (result instanceof Kind kind) {
                            fail(emitter, kind);
                        } else {
                            emitter.complete(result);
                        }
                    });
        }

        private <T> void fail(UniEmitter<? super T> emitter, Kind kind) {
            emitter.fail(new StoreException(kind, "simulated: " + kind));
        }

        @Override
        public Uni<CommitResult> commit(StoreTransaction change) {
            if (random.nextDouble() < lostShare) {
                return Uni.createFrom().emitter(e -> lose(e, change));
            }
            return this.<Object>call(() -> leasesExist(change) ? apply(change) : Kind.LEASE_LOST)
                    .map(CommitResult.class::cast);
        }

        private void lose(UniEmitter<? super CommitResult> emitter, StoreTransaction change) {
            long late = random.nextBoolean() ? ANSWER_MILLIS : 1000 + random.nextInt(5000);
            time.afterMillis(
                    late,
                    () -> {
                        if (!down && leasesExist(change)) {
                            apply(change);
                        }
                    });
            time.afterMillis(TIMEOUT_MILLIS, () -> fail(emitter, Kind.ANSWER_LOST));
        }

        @Override
        public Uni<Optional<StoreEntry>> get(String key) {
            return call(() -> read(key));
        }

        @Override
        public Uni<List<StoreEntry>> list(String prefix) {
            return snapshot(prefix).map(WatchResult::changed);
        }

        @Override
        public Uni<WatchResult> snapshot(String prefix) {
            return call(
                    () ->
                            new WatchResult(
                                    revision,
                                    entries.values().stream()
                                            .filter(e -> e.key().startsWith(prefix))
                                            .toList(),
                                    List.of()));
        }

        @Override
        public Uni<WatchResult> watch(String prefix, long after, Duration wait) {
            return Uni.createFrom()
                    .emitter(
                            e -> {
                                if (cut || down) {
                                    time.afterMillis(
                                            TIMEOUT_MILLIS, () -> fail(e, Kind.ANSWER_LOST));
                                    return;
                                }
                                Watch watch = new Watch(prefix, after, e);
                                if (!watch.answer()) {
                                    watches.add(watch);
                                    time.afterMillis(wait.toMillis(), () -> watch.send(Map.of()));
                                }
                            });
        }

        @Override
        public Uni<LeaseId> grantLease(Duration timeToLive) {
            return call(
                    () -> {
                        long id = ++lastLease;
                        Lease lease = new Lease(timeToLive.toMillis());
                        leases.put(id, lease);
                        lease.endNanos = time.nanoTime() + timeToLive.toNanos();
                        expire(id);
                        return new LeaseId(id);
                    });
        }

        @Override
        public Uni<Void> renewLease(LeaseId lease) {
            return this.<Object>call(
                            () -> {
                                Lease held = leases.get(lease.value());
                                if (held == null) {
                                    return Kind.LEASE_LOST;
                                }
                                held.endNanos = time.nanoTime() + held.millis * 1_000_000;
                                return "renewed";
                            })
                    .replaceWithVoid();
        }

        @Override
        public Uni<Void> revokeLease(LeaseId lease) {
            return this.<Object>call(
                            () -> {
                                endLease(lease.value());
                                return "ended";
                            })
                    .replaceWithVoid();
        }
    }
}
