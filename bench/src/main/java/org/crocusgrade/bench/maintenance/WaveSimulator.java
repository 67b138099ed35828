package org.crocusgrade.bench.maintenance;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.crocusgrade.bench.plan.Deployment;
import org.crocusgrade.core.config.ServiceConfig;
import org.crocusgrade.core.fleet.WorkerState;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.Epoch;
import org.crocusgrade.core.id.RackId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.maintenance.DefaultMaintenancePlanner;
import org.crocusgrade.core.maintenance.MaintenanceDecision;
import org.crocusgrade.core.maintenance.MaintenanceStep;
import org.crocusgrade.core.maintenance.MaintenanceView;
import org.crocusgrade.core.maintenance.RolloutPolicy;
import org.crocusgrade.core.maintenance.WaveRecord;
import org.crocusgrade.core.port.HostEntry;

/**
 * Simulates one maintenance wave over a fleet whose hosts take random times to drain and to reboot,
 * and compares its duration with a lower bound that follows from the availability budgets.
 *
 * <p>For a pool, the bound takes its zones one after the other, or as many at once as the budget
 * allows. Within a zone, the times of the hosts are spread evenly over as many hosts as may be
 * unavailable at once, but the zone takes at least as long as its slowest host. The bound of the
 * fleet is that of its slowest pool. No wave can be shorter; whether one of that length exists
 * depends on how the hosts' times can be packed.
 */
public final class WaveSimulator {
    private static final Duration TICK = Duration.ofSeconds(1);
    private static final Duration MAINTENANCE_INTERVAL = Duration.ofDays(21);
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");
    private static final int MAX_TICKS = 100_000;

    private final Deployment fleet;
    private final List<Host> hosts = new ArrayList<>();
    private Instant now = START;

    private WaveSimulator(Deployment fleet, long seed) {
        this.fleet = fleet;
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        for (int p = 0; p < fleet.pools().size(); p++) {
            for (int i = 0; i < fleet.pools().get(p).capacity().usualWorkers(); i++) {
                int id = hosts.size();
                int zone = id % fleet.zones();
                hosts.add(new Host(id, p, zone, 2 + random.nextInt(20), 90 + random.nextInt(60)));
            }
        }
    }

    /** Simulates the roll-out of an image to every host, with the given share of canary hosts. */
    public static Times simulate(Deployment fleet, long seed, double canaryShare) {
        WaveSimulator simulator = new WaveSimulator(fleet, seed);
        Duration shortest = simulator.shortest();
        return new Times(simulator.runWave(canaryShare), shortest);
    }

    private Duration runWave(double canaryShare) {
        RolloutPolicy policy =
                new RolloutPolicy(
                        Optional.of("next"),
                        0,
                        false,
                        canaryShare,
                        Duration.ofSeconds(60),
                        2,
                        Duration.ofMinutes(15));
        WaveRecord record = WaveRecord.EMPTY;
        Epoch epoch = new Epoch(1);
        for (int i = 0; i < MAX_TICKS; i++) {
            MaintenanceStep step =
                    new DefaultMaintenancePlanner().next(view(policy), record, epoch);
            record = step.record();
            step.decisions().forEach(this::applyDecision);
            if (hosts.stream().allMatch(h -> h.image.equals("next") && h.serves())) {
                return Duration.between(START, now);
            }
            now = now.plus(TICK);
            hosts.forEach(this::advance);
        }
        throw new IllegalStateException("wave did not finish within the limit of simulated ticks");
    }

    private MaintenanceView view(RolloutPolicy policy) {
        List<MaintenanceView.Host> views = new ArrayList<>();
        for (Host h : hosts) {
            views.add(
                    new MaintenanceView.Host(
                            new WorkerId(h.name()),
                            new RackId("z" + h.zone + "-r" + h.id / 12),
                            new AvailabilityZone("z" + h.zone),
                            fleet.pools().get(h.pool).id(),
                            false,
                            h.state,
                            h.up ? HostEntry.State.LIVE : HostEntry.State.DOWN,
                            h.up ? Instant.EPOCH : now,
                            h.up,
                            h.image));
        }
        List<MaintenanceView.Pool> pools = new ArrayList<>();
        for (Deployment.Pool p : fleet.pools()) {
            pools.add(
                    new MaintenanceView.Pool(
                            p.id(),
                            p.capacity().minWorkers(),
                            p.budget(),
                            new ServiceConfig.Maintenance(
                                    MAINTENANCE_INTERVAL, Duration.ofMinutes(5), true),
                            false));
        }
        return new MaintenanceView(now, policy, views, pools);
    }

    private void applyDecision(MaintenanceDecision decision) {
        if (decision instanceof MaintenanceDecision.Drain d) {
            Host h = host(d.worker());
            if (h.state == WorkerState.SERVING) {
                h.state = WorkerState.DRAINING;
                h.phaseEnd = now.plusSeconds(h.drainSeconds);
            }
        } else if (decision instanceof MaintenanceDecision.Reboot r) {
            Host h = host(r.worker());
            if (h.up && h.state == WorkerState.MAINTENANCE && !h.image.equals(r.image())) {
                h.up = false;
                h.phaseEnd = now.plusSeconds(h.rebootSeconds);
            }
        } else if (decision instanceof MaintenanceDecision.GiveBack g) {
            host(g.worker()).state = WorkerState.SERVING;
        }
    }

    private void advance(Host h) {
        if (h.state == WorkerState.DRAINING && !h.phaseEnd.isAfter(now)) {
            h.state = WorkerState.MAINTENANCE;
        } else if (!h.up && !h.phaseEnd.isAfter(now)) {
            h.up = true;
            h.image = "next";
        }
    }

    private Host host(WorkerId worker) {
        return hosts.get(Integer.parseInt(worker.value().substring(1)));
    }

    private Duration shortest() {
        long longest = 0;
        for (int p = 0; p < fleet.pools().size(); p++) {
            ServiceConfig.Budget budget = fleet.pools().get(p).budget();
            Map<Integer, long[]> zones = new TreeMap<>();
            for (Host h : hosts) {
                if (h.pool == p) {
                    long[] sumAndMax = zones.computeIfAbsent(h.zone, z -> new long[2]);
                    sumAndMax[0] += h.drainSeconds + h.rebootSeconds;
                    sumAndMax[1] = Math.max(sumAndMax[1], h.drainSeconds + h.rebootSeconds);
                }
            }
            long sum = 0;
            for (long[] z : zones.values()) {
                sum += Math.max(z[1], z[0] / budget.maxUnavailable());
            }
            longest = Math.max(longest, sum / budget.maxUnavailableZones());
        }
        return Duration.ofSeconds(longest);
    }

    /**
     * Duration of a wave and its lower bound.
     *
     * @param wave the time from the start of the simulation until every host serves with the new
     *     image
     * @param shortest the lower bound under the budgets
     */
    public record Times(Duration wave, Duration shortest) {
        /** Returns the duration of the wave as a multiple of the lower bound. */
        public double ratio() {
            return (double) wave.toNanos() / shortest.toNanos();
        }
    }

    /** State of one simulated host; its drain and reboot times are in seconds. */
    private static final class Host {
        final int id;
        final int pool;
        final int zone;
        final int drainSeconds;
        final int rebootSeconds;
        WorkerState state = WorkerState.SERVING;
        boolean up = true;
        String image = "old";
        Instant phaseEnd = START;

        Host(int id, int pool, int zone, int drainSeconds, int rebootSeconds) {
            this.id = id;
            this.pool = pool;
            this.zone = zone;
            this.drainSeconds = drainSeconds;
            this.rebootSeconds = rebootSeconds;
        }

        String name() {
            return String.format("w%03d", id);
        }

        boolean serves() {
            return up && state == WorkerState.SERVING;
        }
    }
}
