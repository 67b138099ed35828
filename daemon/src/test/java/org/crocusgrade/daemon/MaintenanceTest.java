package org.crocusgrade.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.nio.file.Path;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import org.crocusgrade.core.fleet.RackCodec;
import org.crocusgrade.core.fleet.WorkerRecord;
import org.crocusgrade.core.fleet.WorkerState;
import org.crocusgrade.core.id.Epoch;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.maintenance.HostProgress;
import org.crocusgrade.core.maintenance.WaveCodec;
import org.crocusgrade.core.maintenance.WaveRecord;
import org.crocusgrade.core.port.KeyValueStore;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.daemon.platform.HttpKeyValueStore;
import org.junit.jupiter.api.Test;

/**
 * Tests that a host due for maintenance is drained, rebooted exactly once and returned to service
 * when the daemon that holds the planner role crashes during the reboot.
 */
class MaintenanceTest {
    private static final Path SAMPLES = Path.of("../samples/laineflux");
    private static final String KEY = "maintenance/region-1";
    private static final WorkerId DUE = new WorkerId("w0");
    private static final Duration WITHIN = Duration.ofSeconds(40);
    private static final Duration STORE_WAIT = Duration.ofSeconds(5);
    private static final Duration POLL = Duration.ofMillis(200);
    private static final int WORKERS = 35;

    /**
     * Age of the last maintenance at which a host is due: more than two thirds of the configured 21
     * days.
     */
    private static final Duration DUE_AGE = Duration.ofDays(16);

    @Test
    void dueHostIsRebootedOnceAfterPlannerFailover() throws Exception {
        try (TestFleet fleet = new TestFleet(WORKERS)) {
            HttpKeyValueStore store = fleet.store();
            WaveRecord dueRecord = recordWith(Map.of(DUE, Instant.now().minus(DUE_AGE)));
            store.compareAndSet(
                            KEY,
                            KeyValueStore.ABSENT,
                            WaveCodec.encode(dueRecord),
                            Optional.empty())
                    .await()
                    .atMost(STORE_WAIT);
            fleet.startDaemon();
            fleet.startDaemon();
            fleet.publish(SAMPLES);
            awaitPhase(store, HostProgress.Phase.REBOOTING);
            String holder = holder(store);
            Daemon planner = fleet.daemons.remove(holder.equals("d0") ? 0 : 1);
            planner.halt();
            awaitPhase(store, HostProgress.Phase.WATCHED);
            long end = System.nanoTime() + WITHIN.toNanos();
            while (state(store) != WorkerState.SERVING && System.nanoTime() < end) {
                Thread.sleep(POLL.toMillis());
            }
            assertThat(state(store), is(WorkerState.SERVING));
            assertThat(fleet.hosts.state().reboots(), is(1));
            assertThat(record(store).wave(), equalTo(1L));
            store.close();
        }
    }

    private static WaveRecord recordWith(Map<WorkerId, Instant> maintained) {
        WaveRecord empty = WaveRecord.EMPTY;
        return new WaveRecord(
                Epoch.NONE,
                empty.wave(),
                empty.status(),
                empty.stopped(),
                empty.image(),
                empty.attempt(),
                empty.started(),
                empty.hosts(),
                maintained,
                empty.meanHostTime());
    }

    /** Waits until the host has reached the phase or a later one. */
    private static void awaitPhase(HttpKeyValueStore store, HostProgress.Phase phase)
            throws Exception {
        long end = System.nanoTime() + WITHIN.toNanos();
        Optional<HostProgress> latest = Optional.empty();
        while (System.nanoTime() < end) {
            latest = Optional.ofNullable(record(store).hosts().get(DUE));
            if (latest.isPresent() && latest.get().phase().compareTo(phase) >= 0) {
                return;
            }
            Thread.sleep(POLL.toMillis());
        }
        throw new AssertionError(
                "the host did not reach " + phase + ", latest progress: " + latest);
    }

    private static WaveRecord record(HttpKeyValueStore store) throws Exception {
        return WaveCodec.decode(get(store, KEY).value());
    }

    private static String holder(HttpKeyValueStore store) {
        String text = get(store, "planner/region-1").text();
        return text.contains("\"d0\"") ? "d0" : "d1";
    }

    private static WorkerState state(HttpKeyValueStore store) throws Exception {
        for (StoreEntry entry : store.list("fleet/region-1/").await().atMost(STORE_WAIT)) {
            for (WorkerRecord worker : RackCodec.decode(entry.value()).workers()) {
                if (worker.worker().equals(DUE)) {
                    return worker.state();
                }
            }
        }
        throw new AssertionError("no rack record contains the host");
    }

    private static StoreEntry get(HttpKeyValueStore store, String key) {
        return store.get(key).await().atMost(STORE_WAIT).orElseThrow();
    }
}
