package org.crocusgrade.daemon.batch;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.maintenance.HostView;
import org.crocusgrade.core.maintenance.WaveRequest;
import org.crocusgrade.core.maintenance.WaveSchedule;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.FormatException;
import org.crocusgrade.core.port.HostControl.Outcome;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.core.port.StoreTransaction;
import org.crocusgrade.daemon.log.Event;

/** Carries out the waves of maintenance that operators ask for, while the duty is held. */
final class WaveRunner {
    private static final long RETRY_MILLIS = 500;

    private final Runtime runtime;
    private final FleetRight right;
    private final Map<Integer, Wave> waves = new TreeMap<>();
    private final Set<HostId> ordering = new HashSet<>();
    private final Map<HostId, Long> orderedNanos = new HashMap<>();

    WaveRunner(Runtime runtime, FleetRight right) {
        this.runtime = runtime;
        this.right = right;
    }

    /** Takes up what earlier holders have done. */
    void begin(Map<String, StoreEntry> shared) {
        ordering.clear();
        orderedNanos.clear();
        for (Wave wave : waves.values()) {
            wave.restore(shared.get(StoreKeys.wave(wave.request.wave())));
        }
    }

    boolean hasOpenOrders() {
        return !ordering.isEmpty();
    }

    void onOperatorEntries(Map<String, StoreEntry> entries, Map<String, StoreEntry> shared) {
        for (StoreEntry entry : entries.values()) {
            if (runtime.format().isWave(entry.key())) {
                onWave(entry, shared);
            }
        }
    }

    private void onWave(StoreEntry entry, Map<String, StoreEntry> shared) {
        try {
            WaveRequest request = runtime.format().wave(entry);
            Wave wave = new Wave(request, runtime.clock());
            if (waves.putIfAbsent(request.wave(), wave) == null) {
                wave.restore(shared.get(StoreKeys.wave(request.wave())));
            }
        } catch (FormatException e) {
            runtime.log().log(Event.RECORD_UNREADABLE, "key", entry.key(), "cause", e);
        }
    }

    /**
     * Adds the hosts to empty and the orders to give.
     *
     * @param viewedNanos when the list of hosts was asked for
     */
    void decide(
            Map<HostId, HostView> views,
            long viewedNanos,
            Map<ServiceId, Long> pressure,
            Set<HostId> evacuate,
            List<Runnable> orders) {
        orderedNanos.values().removeIf(ordered -> viewedNanos - ordered > 0);
        Set<HostId> unseen = new HashSet<>(ordering);
        unseen.addAll(orderedNanos.keySet());
        for (Wave wave : waves.values()) {
            if (!wave.closed) {
                decide(wave, views, unseen, pressure, evacuate, orders);
            }
        }
    }

    private void decide(
            Wave wave,
            Map<HostId, HostView> views,
            Set<HostId> unseen,
            Map<ServiceId, Long> pressure,
            Set<HostId> evacuate,
            List<Runnable> orders) {
        long passed = runtime.clock().nanoTime() - wave.seenNanos;
        Duration left = wave.request.within().minusNanos(passed);
        WaveSchedule.Decision decision =
                WaveSchedule.decide(wave.request, left, views, wave.done, unseen, pressure);
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

    private void maintain(Wave wave, HostId host) {
        if (!ordering.add(host)) {
            return;
        }
        int number = wave.request.wave();
        runtime.hosts()
                .maintain(host, number, right.orderFor(host))
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        o -> onMaintained(wave, host, o),
                        f -> {
                            settle(host);
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

    /** What became of an order shows in lists that are asked for from now on. */
    private void settle(HostId host) {
        ordering.remove(host);
        orderedNanos.put(host, runtime.clock().nanoTime());
    }

    private void onMaintained(Wave wave, HostId host, Outcome outcome) {
        settle(host);
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
        right.lookAgain();
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

    private void store(Wave wave) {
        if (right.tenure().isEmpty() || wave.storing) {
            return;
        }
        wave.storing = true;
        int stored = wave.done.size();
        Tenure held = right.tenure().get();
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
                            if (right.isConfirmedBy(held, r) && wave.done.size() > stored) {
                                store(wave);
                            }
                        },
                        f -> {
                            wave.storing = false;
                            runtime.after(RETRY_MILLIS, () -> store(wave));
                        });
    }

    private void writeStatus(Wave wave, boolean completed) {
        if (wave.writing) {
            return;
        }
        wave.writing = true;
        Tenure held = right.tenure().orElseThrow();
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
                            if (right.isConfirmedBy(held, r)) {
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

    /** A wave and how far it has come. */
    private static final class Wave {
        private static final String SEPARATOR = "\n";

        /** Marks the line that says when the wave was first seen, in Unix milliseconds. */
        private static final String SEEN = "@";

        private final WaveRequest request;
        private long seenNanos;
        private long seenEpochMillis;
        private final Set<HostId> done = new TreeSet<>();
        private boolean announced;
        private boolean closed;
        private boolean storing;
        private boolean writing;

        Wave(WaveRequest request, Clock clock) {
            this.request = request;
            seenNanos = clock.nanoTime();
            seenEpochMillis = clock.now().toEpochMilli();
        }

        /** Takes what an earlier holder has done. */
        void restore(StoreEntry entry) {
            if (entry == null) {
                return;
            }
            for (String line : entry.text().split(SEPARATOR)) {
                if (line.startsWith(SEEN)) {
                    restoreSeen(Long.parseLong(line.substring(SEEN.length())));
                } else if (!line.isEmpty()) {
                    done.add(new HostId(line));
                }
            }
            announced = true;
        }

        /** A daemon that was restarted sees the wave late, but it is due as it was. */
        private void restoreSeen(long epochMillis) {
            if (epochMillis < seenEpochMillis) {
                seenNanos -= Duration.ofMillis(seenEpochMillis - epochMillis).toNanos();
                seenEpochMillis = epochMillis;
            }
        }

        byte[] record() {
            List<String> lines = new ArrayList<>();
            lines.add(SEEN + seenEpochMillis);
            done.forEach(h -> lines.add(h.value()));
            return String.join(SEPARATOR, lines).getBytes(StandardCharsets.UTF_8);
        }
    }
}
