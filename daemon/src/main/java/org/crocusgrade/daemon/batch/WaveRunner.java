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

/** Carries out the maintenance waves that operators request, while the fleet duty is held. */
final class WaveRunner {
    private static final long RETRY_MILLIS = 500;

    private final BatchRuntime runtime;
    private final FleetAuthority authority;
    private final Map<Integer, Wave> waves = new TreeMap<>();
    private final Set<HostId> ordering = new HashSet<>();
    private final Map<HostId, Long> orderedNanos = new HashMap<>();

    WaveRunner(BatchRuntime runtime, FleetAuthority authority) {
        this.runtime = runtime;
        this.authority = authority;
    }

    /** Restores the progress of the waves under earlier holders. */
    void restore(Map<String, StoreEntry> coordination) {
        ordering.clear();
        orderedNanos.clear();
        for (Wave wave : waves.values()) {
            wave.restore(coordination.get(StoreKeys.wave(wave.request.wave())));
        }
    }

    boolean hasOpenOrders() {
        return !ordering.isEmpty();
    }

    /** Returns whether an order for a host has no answer yet. */
    boolean isOrderOpen(HostId host) {
        return ordering.contains(host);
    }

    void onOperatorEntries(Map<String, StoreEntry> entries, Map<String, StoreEntry> coordination) {
        for (StoreEntry entry : entries.values()) {
            if (runtime.format().isWave(entry.key())) {
                onWave(entry, coordination);
            }
        }
    }

    private void onWave(StoreEntry entry, Map<String, StoreEntry> coordination) {
        try {
            WaveRequest request = runtime.format().wave(entry);
            Wave wave = new Wave(request, runtime.clock());
            if (waves.putIfAbsent(request.wave(), wave) == null) {
                wave.restore(coordination.get(StoreKeys.wave(request.wave())));
            }
        } catch (FormatException | RuntimeException e) {
            runtime.log().log(Event.RECORD_UNREADABLE, "key", entry.key(), "cause", e);
        }
    }

    /**
     * Adds the hosts to evacuate and the orders to send.
     *
     * @param hostsReadNanos when the host list was requested
     * @param orderedByFormer hosts whose maintenance a former holder may have ordered just now
     */
    void decide(
            Map<HostId, HostView> views,
            long hostsReadNanos,
            Set<HostId> orderedByFormer,
            Map<ServiceId, Long> pressure,
            Set<HostId> evacuate,
            List<FleetAction> orders) {
        orderedNanos.values().removeIf(ordered -> hostsReadNanos - ordered > 0);
        Set<HostId> unconfirmed = new HashSet<>(ordering);
        unconfirmed.addAll(orderedNanos.keySet());
        for (Wave wave : waves.values()) {
            if (!wave.closed) {
                Set<HostId> mayBegin = new HashSet<>(orderedByFormer);
                mayBegin.removeAll(wave.done);
                mayBegin.addAll(unconfirmed);
                decide(wave, views, mayBegin, pressure, evacuate, orders);
            }
        }
    }

    private void decide(
            Wave wave,
            Map<HostId, HostView> views,
            Set<HostId> unconfirmed,
            Map<ServiceId, Long> pressure,
            Set<HostId> evacuate,
            List<FleetAction> orders) {
        long elapsed = runtime.clock().nanoTime() - wave.firstSeenNanos;
        Duration remaining = wave.request.within().minusNanos(elapsed);
        WaveSchedule.Decision decision =
                WaveSchedule.decide(
                        wave.request, remaining, views, wave.done, unconfirmed, pressure);
        evacuate.addAll(decision.evacuate());
        if (decision.complete()) {
            orders.add(FleetAction.withoutHost(() -> writeStatus(wave, true)));
            return;
        }
        if (!wave.statusWritten) {
            orders.add(FleetAction.withoutHost(() -> writeStatus(wave, false)));
        }
        for (HostId host : decision.maintain()) {
            if (!ordering.contains(host)) {
                boolean interrupts = !views.get(host).isEmpty();
                orders.add(FleetAction.maintain(host, interrupts, () -> maintain(wave, host)));
            }
        }
    }

    private void maintain(Wave wave, HostId host) {
        if (!ordering.add(host)) {
            return;
        }
        int number = wave.request.wave();
        runtime.hosts()
                .maintain(host, number, authority.authorizeOrder(host, Optional.empty()))
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        o -> onMaintained(wave, host, o),
                        f -> {
                            onOrderAnswered(host);
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

    /**
     * Marks an order as answered. Its effect is visible only in host lists that are requested from
     * now on.
     */
    private void onOrderAnswered(HostId host) {
        ordering.remove(host);
        orderedNanos.put(host, runtime.clock().nanoTime());
    }

    private void onMaintained(Wave wave, HostId host, Outcome outcome) {
        onOrderAnswered(host);
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
        authority.refreshHostsSoon();
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
        if (authority.ownership().isEmpty() || wave.storing) {
            return;
        }
        wave.storing = true;
        int stored = wave.done.size();
        DutyOwnership held = authority.ownership().get();
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
                            if (authority.isConfirmedBy(held, r) && wave.done.size() > stored) {
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
        DutyOwnership held = authority.ownership().orElseThrow();
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
                            if (authority.isConfirmedBy(held, r)) {
                                wave.statusWritten = true;
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

    /** A wave and its progress. */
    private static final class Wave {
        private static final String SEPARATOR = "\n";

        /**
         * Prefix of the line with the time at which the wave was first seen, in Unix milliseconds.
         */
        private static final String FIRST_SEEN = "@";

        private final WaveRequest request;
        private long firstSeenNanos;
        private long firstSeenEpochMillis;
        private final Set<HostId> done = new TreeSet<>();
        private boolean statusWritten;
        private boolean closed;
        private boolean storing;
        private boolean writing;

        Wave(WaveRequest request, Clock clock) {
            this.request = request;
            firstSeenNanos = clock.nanoTime();
            firstSeenEpochMillis = clock.now().toEpochMilli();
        }

        /** Restores the progress that earlier holders have stored. */
        void restore(StoreEntry entry) {
            if (entry == null) {
                return;
            }
            for (String line : entry.text().split(SEPARATOR)) {
                if (line.startsWith(FIRST_SEEN)) {
                    restoreFirstSeen(Long.parseLong(line.substring(FIRST_SEEN.length())));
                } else if (!line.isEmpty()) {
                    done.add(new HostId(line));
                }
            }
            statusWritten = true;
        }

        /**
         * Restores an earlier time at which the wave was first seen, so that a restarted daemon
         * keeps the deadline of the wave.
         */
        private void restoreFirstSeen(long epochMillis) {
            if (epochMillis < firstSeenEpochMillis) {
                firstSeenNanos -= Duration.ofMillis(firstSeenEpochMillis - epochMillis).toNanos();
                firstSeenEpochMillis = epochMillis;
            }
        }

        byte[] record() {
            List<String> lines = new ArrayList<>();
            lines.add(FIRST_SEEN + firstSeenEpochMillis);
            done.forEach(h -> lines.add(h.value()));
            return String.join(SEPARATOR, lines).getBytes(StandardCharsets.UTF_8);
        }
    }
}
