package org.crocusgrade.core.fleet.plan;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.maintenance.HostView;
import org.crocusgrade.core.port.HostControl.State;

/**
 * Simulates pools that surge in turns under a {@link PoolBalancer}: submissions arrive at random,
 * and their work is served as a fluid, in the order of arrival, by the hosts of the pool. A host
 * that is to leave a pool continues to serve until its tasks have ended, and is then out of service
 * while it moves; if its tasks do not end within {@code DRAIN_TIMEOUT_SECONDS}, the move is
 * cancelled.
 */
final class SurgeSequenceSimulation {
    private static final double STEP_SECONDS = 0.05;
    private static final double DECIDE_SECONDS = 0.1;
    private static final double MOVE_SECONDS = 1.6;
    private static final double DRAIN_TIMEOUT_SECONDS = 3.5;
    private static final double ARRIVAL_WINDOW_SECONDS = 1.2;

    private final Map<ServiceId, Pool> pools = new LinkedHashMap<>();
    private final List<Host> hosts = new ArrayList<>();
    private final ServiceId standby = new ServiceId("standby");
    private final SurgeSequenceForecast forecast = new SurgeSequenceForecast();
    private PoolBalancer balancer = new PoolBalancer(forecast);
    private final Set<Host> busyHosts = new HashSet<>();
    private final Random random;
    private final double hostCores;
    private boolean movesDisabled;
    private double quietSeconds;
    private double now;
    private double hostSeconds;
    private double neededHostSeconds;
    private double aboveSeconds;
    private double belowSeconds;
    private double highestTarget;
    private int moves;

    SurgeSequenceSimulation(long seed, double hostCores) {
        random = new Random(seed);
        this.hostCores = hostCores;
    }

    /**
     * Adds a pool.
     *
     * @param hosts its number of hosts; every third one runs long-running tasks
     * @param mean the mean number of cores that its work needs
     * @param size the mean work of a submission, in core-seconds
     * @param task the run time of a task, in seconds
     * @param maxLatency the age up to which work is served in time, run time of its task included,
     *     in seconds
     * @param turn the index of the turn in which it surges
     */
    void addPool(
            String name,
            int hosts,
            double mean,
            double size,
            double task,
            double maxLatency,
            int turn) {
        ServiceId id = new ServiceId(name);
        pools.put(id, new Pool(id, mean, size, task, maxLatency, turn));
        for (int i = 0; i < hosts; i++) {
            this.hosts.add(new Host(name + i, id, i % 3 == 0));
        }
    }

    void addStandbyHosts(int count) {
        for (int i = 0; i < count; i++) {
            hosts.add(new Host("s" + i, standby, false));
        }
    }

    /** Lets no work arrive for a time before the first turn; returns this simulation. */
    SurgeSequenceSimulation startQuietly(double seconds) {
        quietSeconds = seconds;
        return this;
    }

    /** Presumes nothing about first surges; returns this simulation. */
    SurgeSequenceSimulation withoutPresumedPeaks() {
        pools.keySet().forEach(p -> forecast.presumePeak(p, 0));
        return this;
    }

    /** Decides by other rules than the current ones; returns this simulation. */
    SurgeSequenceSimulation withRules(PoolBalancer.Rules rules) {
        balancer = new PoolBalancer(forecast, rules);
        return this;
    }

    /** Disables moves; returns this simulation. */
    SurgeSequenceSimulation disableMoves() {
        movesDisabled = true;
        return this;
    }

    /** Simulates a number of rounds, in each of which every pool has one turn. */
    Result run(int rounds, double turnSeconds) {
        double end = quietSeconds + rounds * turnSeconds * pools.size();
        double decideAt = 0;
        while (now < end) {
            for (Pool pool : pools.values()) {
                pool.arrive(turnSeconds);
            }
            hosts.forEach(Host::step);
            for (Pool pool : pools.values()) {
                pool.serve(cores(pool.id, true));
            }
            if (!movesDisabled && now >= decideAt) {
                decide();
                decideAt += DECIDE_SECONDS;
            }
            hosts.forEach(h -> hostSeconds += h.pool.equals(standby) ? 0 : STEP_SECONDS);
            pools.values().forEach(p -> p.compareHosts(turnSeconds));
            now += STEP_SECONDS;
        }
        double worstPool = 1;
        double served = 0;
        double arrived = 0;
        for (Pool pool : pools.values()) {
            worstPool = Math.min(worstPool, pool.servedInTime / pool.arrived);
            served += pool.servedInTime;
            arrived += pool.arrived;
        }
        double hostTime = end * hosts.size();
        return new Result(
                served / arrived,
                worstPool,
                hostSeconds / hostTime,
                neededHostSeconds / hostTime,
                aboveSeconds / hostTime,
                belowSeconds / hostTime,
                highestTarget / hosts.size() / hostCores,
                moves);
    }

    /** Finds the hosts on which tasks run: they are packed on as few hosts as can run them. */
    private void findBusyHosts() {
        busyHosts.clear();
        Map<ServiceId, Double> left = new HashMap<>();
        pools.forEach((id, p) -> left.put(id, p.backlog() < 1 ? 0 : p.backlog() / p.task));
        for (Host host : hosts) {
            double cores = left.getOrDefault(host.pool, 0.0);
            if (cores > 0 && !host.isInTransit()) {
                busyHosts.add(host);
                left.put(host.pool, cores - hostCores + host.longRunningCores());
            }
        }
    }

    private void decide() {
        findBusyHosts();
        Map<ServiceId, PoolNeed> needs = new HashMap<>();
        for (Pool pool : pools.values()) {
            forecast.observe(pool.id, now, pool.offered(), pool.recentArrivals.size());
            needs.put(pool.id, pool.need());
        }
        Map<ServiceId, Integer> incoming = new HashMap<>();
        List<HostView> free = new ArrayList<>();
        for (Host host : hosts) {
            if (host.leaving()) {
                incoming.merge(host.to, 1, Integer::sum);
            } else if (host.isInTransit()) {
                incoming.merge(host.pool, 1, Integer::sum);
            } else {
                free.add(host.view());
            }
        }
        for (PoolBalancer.Move move :
                balancer.decide(now, free, needs, incoming, Set.of(standby))) {
            host(move.host()).leave(move.to());
        }
        for (PoolSummary summary : balancer.summaries()) {
            highestTarget = Math.max(highestTarget, summary.target());
        }
    }

    private Host host(HostId id) {
        return hosts.stream().filter(h -> h.id.equals(id)).findFirst().orElseThrow();
    }

    /**
     * Returns the cores of a pool that serve its queue; hosts that are draining are included on
     * request.
     */
    private double cores(ServiceId pool, boolean withLeaving) {
        double cores = 0;
        for (Host host : hosts) {
            boolean present = host.pool.equals(pool) && !host.isInTransit();
            if (present && (withLeaving || !host.leaving())) {
                cores += hostCores - host.longRunningCores();
            }
        }
        return cores;
    }

    /**
     * The result of a simulation.
     *
     * @param served the fraction of all work that was served in time
     * @param worstPool the lowest such fraction of a single pool
     * @param hostShareInPools the fraction of the total host time that was spent outside the
     *     standby pool
     * @param neededHostShare the lower bound of that: the fraction that the tasks running at each
     *     moment would need if they were packed on as few hosts as possible
     * @param aboveShare the fraction of the host time in which hosts were in a pool that needed one
     *     host or more less, by what arrives in its turns and what runs
     * @param belowShare the same of hosts that a pool lacked
     * @param highestTarget the highest target of a pool, as a fraction of the cores of all hosts
     */
    record Result(
            double served,
            double worstPool,
            double hostShareInPools,
            double neededHostShare,
            double aboveShare,
            double belowShare,
            double highestTarget,
            int moves) {}

    private final class Pool {
        private final ServiceId id;
        private final double mean;
        private final double size;
        private final double task;
        private final double maxLatency;
        private final int turn;
        private final Deque<double[]> queue = new ArrayDeque<>();
        private final Deque<double[]> recentArrivals = new ArrayDeque<>();
        private final Deque<double[]> inProgress = new ArrayDeque<>();
        private double queued;
        private double inProgressSum;
        private double arrived;
        private double servedInTime;

        Pool(ServiceId id, double mean, double size, double task, double maxLatency, int turn) {
            this.id = id;
            this.mean = mean;
            this.size = size;
            this.task = task;
            this.maxLatency = maxLatency;
            this.turn = turn;
        }

        /**
         * Adds the arrivals of one step: in its turn a pool gets about four times its mean,
         * otherwise a twentieth.
         */
        void arrive(double turnSeconds) {
            double since = now - quietSeconds;
            if (since < 0) {
                return;
            }
            boolean surges = (int) (since / turnSeconds) % pools.size() == turn;
            double perStep = mean * (surges ? 4 : 0.05) / size * STEP_SECONDS;
            while (random.nextDouble() < perStep) {
                perStep -= 1;
                double work = size * (0.4 + 1.2 * random.nextDouble());
                queue.add(new double[] {now, work});
                recentArrivals.add(new double[] {now, work});
                queued += work;
                arrived += work;
            }
            recentArrivals.removeIf(w -> now - w[0] > ARRIVAL_WINDOW_SECONDS);
        }

        /** Compares the hosts of this pool with those that its present load needs. */
        void compareHosts(double turnSeconds) {
            double since = now - quietSeconds;
            boolean surges = since >= 0 && (int) (since / turnSeconds) % pools.size() == turn;
            double running = inProgressSum / task;
            double cores = longRunningCores() + (surges ? Math.max(4 * mean, running) : running);
            double needed = Math.ceil(cores / hostCores);
            long present =
                    hosts.stream().filter(h -> h.pool.equals(id) && !h.isInTransit()).count();
            aboveSeconds += Math.max(0, present - needed - 1) * STEP_SECONDS;
            belowSeconds += Math.max(0, needed - present) * STEP_SECONDS;
        }

        double offered() {
            return recentArrivals.stream().mapToDouble(w -> w[1]).sum() / ARRIVAL_WINDOW_SECONDS;
        }

        private double longRunningCores() {
            double cores = 0;
            for (Host host : hosts) {
                cores += host.pool.equals(id) ? host.longRunningCores() : 0;
            }
            return cores;
        }

        PoolNeed need() {
            double backlog = backlog();
            double batch = backlog < 1 ? 0 : backlog / task;
            double waiting = queued < 1 ? 0 : queued / task;
            return new PoolNeed(id, longRunningCores(), batch, waiting, backlog);
        }

        /**
         * Returns the work that the owner reports as remaining: what waits, and all of what runs,
         * since a task counts until it ends.
         */
        double backlog() {
            return queued + inProgressSum;
        }

        void serve(double cores) {
            while (!inProgress.isEmpty() && inProgress.peek()[0] <= now) {
                inProgressSum -= inProgress.remove()[1];
            }
            if (inProgress.isEmpty()) {
                inProgressSum = 0;
            }
            double left = cores * STEP_SECONDS;
            double started = 0;
            while (left > 0 && !queue.isEmpty()) {
                double[] first = queue.peek();
                double done = Math.min(left, first[1]);
                left -= done;
                queued -= done;
                started += done;
                first[1] -= done;
                servedInTime += now + task - first[0] <= maxLatency ? done : 0;
                if (first[1] <= 1e-9) {
                    queue.remove();
                }
            }
            if (started > 0) {
                inProgress.add(new double[] {now + task, started});
                inProgressSum += started;
            }
            double needed = inProgressSum / task + longRunningCores();
            neededHostSeconds += Math.ceil(needed / hostCores) * STEP_SECONDS;
        }
    }

    private final class Host {
        private final HostId id;
        private final boolean hasLongRunning;
        private ServiceId pool;
        private ServiceId to;
        private double emptyAt;
        private double leavingSince;
        private double arrivesAt = Double.NEGATIVE_INFINITY;

        Host(String name, ServiceId pool, boolean hasLongRunning) {
            id = new HostId(name);
            this.pool = pool;
            this.hasLongRunning = hasLongRunning;
        }

        double longRunningCores() {
            return hasLongRunning ? hostCores / 2 : 0;
        }

        boolean leaving() {
            return to != null;
        }

        boolean isInTransit() {
            return now < arrivesAt;
        }

        void leave(ServiceId target) {
            to = target;
            leavingSince = now;
            boolean idle = pool.equals(standby) || !isBusy();
            emptyAt = idle ? now + 0.1 : now + 0.2 + random.nextDouble() * pools.get(pool).task;
        }

        void step() {
            if (to != null && now >= emptyAt) {
                pool = to;
                to = null;
                arrivesAt = now + MOVE_SECONDS;
                moves++;
            } else if (to != null && now - leavingSince > DRAIN_TIMEOUT_SECONDS) {
                to = null;
            }
        }

        boolean isBusy() {
            return busyHosts.contains(this);
        }

        HostView view() {
            boolean inStandby = pool.equals(standby);
            boolean busy = !inStandby && isBusy();
            return new HostView(
                    id,
                    pool,
                    Optional.of(new WorkerId("w-" + id)),
                    State.UP,
                    Optional.of("r1"),
                    (long) (hostCores * 1000),
                    inStandby,
                    true,
                    false,
                    (busy ? 4 : 0) + (hasLongRunning ? 2 : 0),
                    hasLongRunning ? 2 : 0,
                    true);
        }
    }
}
