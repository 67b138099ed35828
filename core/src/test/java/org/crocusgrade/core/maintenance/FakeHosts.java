package org.crocusgrade.core.maintenance;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import org.crocusgrade.core.config.ServiceConfig;
import org.crocusgrade.core.fleet.WorkerState;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.RackId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.HostEntry;

/** Simulates hosts that drain, reboot and come back as the owners and the platform make them. */
final class FakeHosts {
    static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    static final int BUDGET = 2;
    private static final Duration DRAIN = Duration.ofSeconds(10);
    private static final Duration DOWN_AFTER = Duration.ofSeconds(5);
    private static final Duration REBOOT = Duration.ofSeconds(120);

    final Map<WorkerId, Host> hosts = new TreeMap<>();
    final Set<String> operations = new HashSet<>();
    final Map<WorkerId, Integer> reboots = new TreeMap<>();
    final Set<PoolId> surging = new HashSet<>();
    final Set<WorkerId> neverBack = new HashSet<>();
    Instant now = START;
    int minWorkers = 2;
    Duration every = Duration.ofDays(21);
    Duration maxDrain = Duration.ofMinutes(5);

    /** Creates pools {@code p0}, {@code p1} and so on of the given sizes, over three zones. */
    FakeHosts(int... sizes) {
        for (int p = 0; p < sizes.length; p++) {
            for (int i = 0; i < sizes[p]; i++) {
                int n = hosts.size();
                Host host = new Host();
                host.id = new WorkerId(String.format("h%02d", n));
                host.pool = new PoolId("p" + p);
                host.zone = n % 3;
                hosts.put(host.id, host);
            }
        }
    }

    MaintenanceView view(RolloutPolicy policy) {
        List<MaintenanceView.Host> views = new ArrayList<>();
        Map<PoolId, MaintenanceView.Pool> pools = new TreeMap<>();
        for (Host h : hosts.values()) {
            views.add(
                    new MaintenanceView.Host(
                            h.id,
                            new RackId("z" + h.zone + "-r"),
                            new AvailabilityZone("z" + h.zone),
                            h.pool,
                            false,
                            h.state,
                            h.up ? HostEntry.State.LIVE : HostEntry.State.DOWN,
                            h.up ? Instant.EPOCH : now,
                            h.up,
                            h.image));
            pools.put(
                    h.pool,
                    new MaintenanceView.Pool(
                            h.pool,
                            minWorkers,
                            new ServiceConfig.Budget(BUDGET, 1),
                            new ServiceConfig.Maintenance(every, maxDrain, true),
                            surging.contains(h.pool)));
        }
        return new MaintenanceView(now, policy, views, List.copyOf(pools.values()));
    }

    void apply(List<MaintenanceDecision> decisions) {
        for (MaintenanceDecision d : decisions) {
            if (d instanceof MaintenanceDecision.Drain drain) {
                Host h = hosts.get(drain.worker());
                if (h.state == WorkerState.SERVING) {
                    h.state = WorkerState.DRAINING;
                    h.drainedAt = now.plus(DRAIN);
                }
            } else if (d instanceof MaintenanceDecision.Reboot reboot) {
                if (operations.add(reboot.operation())) {
                    Host h = hosts.get(reboot.worker());
                    reboots.merge(h.id, 1, Integer::sum);
                    h.nextImage = reboot.image();
                    h.downAt = now.plus(DOWN_AFTER);
                }
            } else if (d instanceof MaintenanceDecision.GiveBack giveBack) {
                hosts.get(giveBack.worker()).state = WorkerState.SERVING;
            }
        }
    }

    void advance(Duration time) {
        now = now.plus(time);
        for (Host h : hosts.values()) {
            if (h.state == WorkerState.DRAINING && !h.stuck && !h.drainedAt.isAfter(now)) {
                h.state = WorkerState.MAINTENANCE;
            }
            if (h.downAt != null && !h.downAt.isAfter(now)) {
                h.downAt = null;
                h.up = false;
                h.upAt = now.plus(REBOOT);
            }
            if (h.upAt != null && !h.upAt.isAfter(now) && !neverBack.contains(h.id)) {
                h.upAt = null;
                h.up = true;
                h.image = h.nextImage;
            }
        }
    }

    long unavailable(PoolId pool) {
        return hosts.values().stream()
                .filter(h -> h.pool.equals(pool))
                .filter(h -> h.state != WorkerState.SERVING || !h.up)
                .count();
    }

    /** A simulated host; times of future changes are null if none is scheduled. */
    static final class Host {
        WorkerId id;
        PoolId pool;
        int zone;
        WorkerState state = WorkerState.SERVING;
        boolean up = true;
        boolean stuck;
        String image = "v1";
        String nextImage = "v1";
        Instant drainedAt;
        Instant downAt;
        Instant upAt;
    }
}
