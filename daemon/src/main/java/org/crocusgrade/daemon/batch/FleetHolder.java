package org.crocusgrade.daemon.batch;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.maintenance.HostView;
import org.crocusgrade.core.maintenance.WaveRequest;
import org.crocusgrade.core.maintenance.WaveSchedule;
import org.crocusgrade.core.port.CommitResult;
import org.crocusgrade.core.port.FormatException;
import org.crocusgrade.core.port.HostControl.Outcome;
import org.crocusgrade.core.port.HostControl.PooledHost;
import org.crocusgrade.core.port.HostControl.Right;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.core.port.StoreTransaction;
import org.crocusgrade.daemon.log.Event;
import org.crocusgrade.peer.proto.EvacuationMessage;
import org.crocusgrade.peer.proto.PoolStatusMessage;
import org.crocusgrade.peer.proto.WorkerStatusMessage;

/**
 * Holds the fleet's duty: carries out maintenance waves.
 *
 * <p>Workers' hosts do not check tokens, so the duty itself must keep holders apart: a new holder
 * waits until the last one's lease and the platform's turn have passed, and before each round of
 * orders the store must still name this holder. A host is ordered about only when its pool's owner
 * has said that it is empty and stays so.
 */
final class FleetHolder {
    /** The time between looks at the hosts while something is to do, in milliseconds. */
    private static final long BUSY_LOOK_MILLIS = 500;

    /** The time between repetitions of what the owners are asked, in milliseconds. */
    private static final long REPEAT_MILLIS = 300;

    /** How old an owner's word on its workers may be. */
    private static final Duration STATUS_AGE = Duration.ofMillis(700);

    /** How long a claim of a former holder may be on its way beyond its lease. */
    private static final Duration FORMER_LEASE = Duration.ofMillis(500);

    private static final long NANOS_PER_MILLI = 1_000_000L;

    private final Runtime runtime;
    private final DaemonId self;
    private final Consumer<EvacuationMessage> evacuations;
    private final Map<ServiceId, PoolStatus> pools = new HashMap<>();
    private final Map<Integer, Wave> waves = new TreeMap<>();
    private Map<HostId, PooledHost> hosts = Map.of();
    private Set<ServiceId> standbyPools = Set.of();
    private Set<HostId> evacuating = Set.of();
    private Set<ServiceId> toldPools = Set.of();
    private final Set<HostId> ordering = new HashSet<>();
    private Optional<Tenure> tenure = Optional.empty();
    private DutyKeeper duties;
    private long gainedNanos;
    private long lookedNanos;
    private long toldNanos;
    private boolean looking;
    private boolean checking;
    private long sequence;

    FleetHolder(Runtime runtime, DaemonId self, Consumer<EvacuationMessage> evacuations) {
        this.runtime = runtime;
        this.self = self;
        this.evacuations = evacuations;
    }

    void gain(Tenure gained, DutyKeeper keeper) {
        tenure = Optional.of(gained);
        duties = keeper;
        gainedNanos = runtime.clock().nanoTime();
        hosts = Map.of();
        ordering.clear();
        for (Wave wave : waves.values()) {
            wave.restore(keeper.entries().get(StoreKeys.wave(wave.request.wave())));
        }
    }

    void lose() {
        tenure = Optional.empty();
        evacuating = Set.of();
    }

    void setStandbyPools(Set<ServiceId> pools) {
        standbyPools = pools;
    }

    void onOperatorEntries(Map<String, StoreEntry> entries) {
        for (StoreEntry entry : entries.values()) {
            if (runtime.format().isWave(entry.key())) {
                onWave(entry);
            }
        }
    }

    private void onWave(StoreEntry entry) {
        try {
            WaveRequest request = runtime.format().wave(entry);
            Wave wave = new Wave(request, runtime.clock().nanoTime());
            if (waves.putIfAbsent(request.wave(), wave) == null && duties != null) {
                wave.restore(duties.entries().get(StoreKeys.wave(request.wave())));
            }
        } catch (FormatException e) {
            runtime.log().log(Event.RECORD_UNREADABLE, "key", entry.key(), "cause", e);
        }
    }

    void onPoolStatus(PoolStatusMessage status) {
        pools.put(
                new ServiceId(status.getService()),
                new PoolStatus(status, runtime.clock().nanoTime()));
    }

    void tick() {
        if (tenure.isEmpty()) {
            return;
        }
        boolean busy = waves.values().stream().anyMatch(w -> !w.closed);
        if (!busy) {
            tellEvacuations(Set.of());
            return;
        }
        look();
        if (hosts.isEmpty()) {
            return;
        }
        Map<HostId, HostView> views = views();
        Set<HostId> evacuate = new HashSet<>();
        List<Runnable> orders = new ArrayList<>();
        for (Wave wave : waves.values()) {
            if (!wave.closed) {
                decide(wave, views, evacuate, orders);
            }
        }
        tellEvacuations(evacuate);
        carryOut(orders);
    }

    private void decide(
            Wave wave, Map<HostId, HostView> views, Set<HostId> evacuate, List<Runnable> orders) {
        long passed = runtime.clock().nanoTime() - wave.seenNanos;
        Duration left = wave.request.within().minusNanos(passed);
        Map<ServiceId, Long> pressure = new HashMap<>();
        pools.forEach((pool, s) -> pressure.put(pool, s.message.getWaitingMilliCores()));
        WaveSchedule.Decision decision =
                WaveSchedule.decide(wave.request, left, views, wave.done, pressure);
        evacuate.addAll(decision.evacuate());
        if (decision.complete()) {
            orders.add(() -> writeStatus(wave, true));
            return;
        }
        if (!wave.announced) {
            orders.add(() -> writeStatus(wave, false));
        }
        for (HostId host : decision.maintain()) {
            if (!ordering.contains(host)) {
                orders.add(() -> maintain(wave, host));
            }
        }
    }

    // What is known of the hosts.

    private void look() {
        long now = runtime.clock().nanoTime();
        if (looking || now - lookedNanos < BUSY_LOOK_MILLIS * NANOS_PER_MILLI) {
            return;
        }
        looking = true;
        lookedNanos = now;
        runtime.hosts()
                .hosts()
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        found -> {
                            looking = false;
                            Map<HostId, PooledHost> byName = new HashMap<>();
                            found.forEach(h -> byName.put(h.host(), h));
                            hosts = byName;
                        },
                        f -> {
                            looking = false;
                            runtime.log().log(
                                    Event.DEPENDENCY_LOST,
                                    "dependency",
                                    "hosts",
                                    "cause",
                                    f.getMessage());
                        });
    }

    private Map<HostId, HostView> views() {
        Map<WorkerId, WorkerStatusMessage> told = new HashMap<>();
        long now = runtime.clock().nanoTime();
        for (PoolStatus status : pools.values()) {
            if (now - status.atNanos <= STATUS_AGE.toNanos()) {
                status.message
                        .getWorkersList()
                        .forEach(w -> told.put(new WorkerId(w.getWorker()), w));
            }
        }
        Map<HostId, HostView> views = new HashMap<>();
        for (PooledHost host : hosts.values()) {
            Optional<WorkerStatusMessage> worker = host.worker().map(told::get);
            Optional<String> rack =
                    host.labels().size() > 1 ? Optional.of(host.labels().get(1)) : Optional.empty();
            views.put(
                    host.host(),
                    new HostView(
                            host.host(),
                            host.pool(),
                            host.worker(),
                            host.state(),
                            rack,
                            host.capacity().milliCores(),
                            standbyPools.contains(host.pool()),
                            worker.isPresent(),
                            worker.map(WorkerStatusMessage::getEvacuating).orElse(false),
                            worker.map(WorkerStatusMessage::getRunning).orElse(0),
                            worker.map(WorkerStatusMessage::getLongRunning).orElse(0)));
        }
        return views;
    }

    // What the owners are asked.

    private void tellEvacuations(Set<HostId> wanted) {
        long now = runtime.clock().nanoTime();
        boolean due = now - toldNanos >= REPEAT_MILLIS * NANOS_PER_MILLI;
        if (wanted.equals(evacuating) && (!due || wanted.isEmpty() && toldPools.isEmpty())) {
            return;
        }
        evacuating = Set.copyOf(wanted);
        toldNanos = now;
        Map<ServiceId, EvacuationMessage.Builder> messages = new HashMap<>();
        for (ServiceId pool : toldPools) {
            messages.put(pool, message(pool));
        }
        for (HostId host : wanted) {
            PooledHost pooled = hosts.get(host);
            if (pooled != null && pooled.worker().isPresent()) {
                messages.computeIfAbsent(pooled.pool(), this::message)
                        .addWorkers(pooled.worker().get().value());
            }
        }
        messages.values().forEach(m -> evacuations.accept(m.build()));
        Set<ServiceId> open = new HashSet<>();
        messages.forEach(
                (pool, m) -> {
                    if (m.getWorkersCount() > 0) {
                        open.add(pool);
                    }
                });
        toldPools = open;
    }

    private EvacuationMessage.Builder message(ServiceId pool) {
        return EvacuationMessage.newBuilder().setService(pool.value()).setSequence(++sequence);
    }

    // Orders.

    /** Carries orders out once the store has confirmed that the duty is still held. */
    private void carryOut(List<Runnable> orders) {
        if (orders.isEmpty() || checking || !isTurnOver()) {
            return;
        }
        Tenure held = tenure.orElseThrow();
        checking = true;
        runtime.store()
                .get(held.key())
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        e -> {
                            checking = false;
                            boolean mine = e.isPresent() && e.get().revision() == held.token();
                            if (mine && tenure.equals(Optional.of(held))) {
                                orders.forEach(runtime::guard);
                            } else if (!mine) {
                                duties.lose(held.duty(), "the store names another holder");
                            }
                        },
                        f -> {
                            checking = false;
                            runtime.log().log(
                                    Event.STORE_FAILED,
                                    "call",
                                    "check of duty",
                                    "cause",
                                    f.getMessage());
                        });
    }

    private boolean isTurnOver() {
        if (tenure.orElseThrow().term() == 1) {
            return true;
        }
        Duration turn = runtime.limits().orderTurn().plus(FORMER_LEASE);
        return runtime.clock().nanoTime() - gainedNanos > turn.toNanos();
    }

    private void maintain(Wave wave, HostId host) {
        if (!ordering.add(host)) {
            return;
        }
        int number = wave.request.wave();
        runtime.hosts()
                .maintain(host, number, right())
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        o -> onMaintained(wave, host, o),
                        f -> {
                            ordering.remove(host);
                            runtime.log().log(
                                    Event.HOST_REFUSED,
                                    "host",
                                    host,
                                    "wave",
                                    number,
                                    "answer",
                                    "none",
                                    "cause",
                                    f.getMessage());
                        });
    }

    private void onMaintained(Wave wave, HostId host, Outcome outcome) {
        ordering.remove(host);
        if (outcome != Outcome.DONE) {
            runtime.log().log(
                    Event.HOST_REFUSED,
                    "host",
                    host,
                    "wave",
                    wave.request.wave(),
                    "answer",
                    outcome);
            return;
        }
        wave.done.add(host);
        lookedNanos = 0;
        runtime.log().log(
                Event.HOST_MAINTAINED,
                "host",
                host,
                "wave",
                wave.request.wave(),
                "done",
                wave.done.size(),
                "of",
                wave.request.hosts().size());
        store(wave);
    }

    private Right right() {
        return new Right(self.value(), tenure.orElseThrow().token());
    }

    private void store(Wave wave) {
        if (tenure.isEmpty() || wave.storing) {
            return;
        }
        wave.storing = true;
        int stored = wave.done.size();
        Tenure held = tenure.get();
        StoreTransaction change =
                StoreTransaction.builder()
                        .expect(held.key(), held.token())
                        .put(StoreKeys.wave(wave.request.wave()), wave.record())
                        .build();
        runtime.store()
                .commit(change)
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        r -> {
                            wave.storing = false;
                            if (requireHeld(held, r) && wave.done.size() > stored) {
                                store(wave);
                            }
                        },
                        f -> {
                            wave.storing = false;
                            runtime.after(BUSY_LOOK_MILLIS, () -> store(wave));
                        });
    }

    private void writeStatus(Wave wave, boolean completed) {
        if (wave.writing) {
            return;
        }
        wave.writing = true;
        Tenure held = tenure.orElseThrow();
        int number = wave.request.wave();
        StoreTransaction change =
                StoreTransaction.builder()
                        .expect(held.key(), held.token())
                        .put(
                                runtime.format().waveStatusKey(number),
                                runtime.format().waveStatus(completed))
                        .put(StoreKeys.wave(number), wave.record())
                        .build();
        runtime.store()
                .commit(change)
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        r -> {
                            wave.writing = false;
                            if (requireHeld(held, r)) {
                                wave.announced = true;
                                wave.closed = completed;
                                runtime.log().log(
                                        Event.WAVE_STATUS,
                                        "wave",
                                        number,
                                        "completed",
                                        completed,
                                        "done",
                                        wave.done.size());
                            }
                        },
                        f -> wave.writing = false);
    }

    private boolean requireHeld(Tenure held, CommitResult result) {
        if (!result.applied()) {
            duties.lose(held.duty(), "the store names another holder");
        }
        return result.applied();
    }

    private record PoolStatus(PoolStatusMessage message, long atNanos) {}

    /** A wave and how far it has come. */
    private static final class Wave {
        private static final String SEPARATOR = "\n";

        private final WaveRequest request;
        private final long seenNanos;
        private final Set<HostId> done = new TreeSet<>();
        private boolean announced;
        private boolean closed;
        private boolean storing;
        private boolean writing;

        Wave(WaveRequest request, long seenNanos) {
            this.request = request;
            this.seenNanos = seenNanos;
        }

        /** Takes what an earlier holder has done. */
        void restore(StoreEntry entry) {
            if (entry == null) {
                return;
            }
            for (String host : entry.text().split(SEPARATOR)) {
                if (!host.isEmpty()) {
                    done.add(new HostId(host));
                }
            }
            announced = true;
        }

        byte[] record() {
            List<String> names = done.stream().map(HostId::value).toList();
            return String.join(SEPARATOR, names).getBytes(StandardCharsets.UTF_8);
        }
    }
}
