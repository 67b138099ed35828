package org.crocusgrade.core.fleet.plan;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.maintenance.HostView;
import org.crocusgrade.core.port.HostControl.State;

/**
 * Plays pools that surge in turns against a balancer: submissions arrive by chance, and their work
 * is served like a fluid, in the order of its arrival, by the hosts that are there. A host that
 * leaves a pool takes what its tasks still run, and then some time on its way.
 */
final class TurnsPlay {
    private static final double STEP_SECONDS = 0.05;
    private static final double DECIDE_SECONDS = 0.1;
    private static final double MOVE_SECONDS = 1.6;
    private static final double EMPTY_PATIENCE_SECONDS = 3.5;
    private static final double METER_SECONDS = 1.2;

    private final Map<ServiceId, Pool> pools = new LinkedHashMap<>();
    private final List<Host> hosts = new ArrayList<>();
    private final ServiceId standby = new ServiceId("standby");
    private final TurnForecast forecast = new TurnForecast();
    private final PoolBalancer balancer = new PoolBalancer(forecast);
    private final Random random;
    private final double hostCores;
    private boolean still;
    private double now;
    private double hostSeconds;
    private int moves;

    TurnsPlay(long seed, double hostCores) {
        random = new Random(seed);
        this.hostCores = hostCores;
    }

    /**
     * Adds a pool.
     *
     * @param hosts its hosts, of which a third has long-running tasks
     * @param mean the cores that its work takes in the mean
     * @param size the work of a submission in the mean, in core-seconds
     * @param task how long a task runs, in seconds
     * @param patience how old work may be when it is served, in seconds
     * @param turn which of the turns is its own
     */
    void pool(
            String name,
            int hosts,
            double mean,
            double size,
            double task,
            double patience,
            int turn) {
        ServiceId id = new ServiceId(name);
        pools.put(id, new Pool(id, mean, size, task, patience, turn));
        for (int i = 0; i < hosts; i++) {
            this.hosts.add(new Host(name + i, id, i % 3 == 0));
        }
    }

    void standby(int count) {
        for (int i = 0; i < count; i++) {
            hosts.add(new Host("s" + i, standby, false));
        }
    }

    /** No host moves from now on. */
    TurnsPlay keepStill() {
        still = true;
        return this;
    }

    /** Plays some rounds of turns of a length. */
    Result play(int rounds, double turnSeconds) {
        double end = rounds * turnSeconds * pools.size();
        double decideAt = 0;
        while (now < end) {
            for (Pool pool : pools.values()) {
                pool.arrive(turnSeconds);
            }
            hosts.forEach(Host::step);
            for (Pool pool : pools.values()) {
                pool.serve(cores(pool.id, true));
            }
            if (!still && now >= decideAt) {
                decide();
                decideAt += DECIDE_SECONDS;
            }
            hosts.forEach(h -> hostSeconds += h.pool.equals(standby) ? 0 : STEP_SECONDS);
            now += STEP_SECONDS;
        }
        double worst = 1;
        double served = 0;
        double owed = 0;
        for (Pool pool : pools.values()) {
            worst = Math.min(worst, pool.inTime / pool.arrived);
            served += pool.inTime;
            owed += pool.arrived;
        }
        return new Result(served / owed, worst, hostSeconds / (end * hosts.size()), moves);
    }

    private void decide() {
        Map<ServiceId, PoolNeed> needs = new HashMap<>();
        for (Pool pool : pools.values()) {
            forecast.observe(pool.id, now, pool.offered(), pool.lately.size());
            needs.put(pool.id, pool.need());
        }
        Map<ServiceId, Integer> incoming = new HashMap<>();
        List<HostView> free = new ArrayList<>();
        for (Host host : hosts) {
            if (host.leaving()) {
                incoming.merge(host.to, 1, Integer::sum);
            } else if (host.isAway()) {
                incoming.merge(host.pool, 1, Integer::sum);
            } else {
                free.add(host.view());
            }
        }
        for (PoolBalancer.Move move : balancer.decide(now, free, needs, incoming)) {
            host(move.host()).leave(move.to());
        }
    }

    private Host host(HostId id) {
        return hosts.stream().filter(h -> h.id.equals(id)).findFirst().orElseThrow();
    }

    /** Returns the cores of a pool; those of leaving hosts do what they have begun. */
    private double cores(ServiceId pool, boolean withLeaving) {
        double cores = 0;
        for (Host host : hosts) {
            boolean there = host.pool.equals(pool) && !host.isAway();
            if (there && (withLeaving || !host.leaving())) {
                cores += hostCores - host.pinnedCores();
            }
        }
        return cores;
    }

    /**
     * What came of it.
     *
     * @param served the part of all work that was served in time
     * @param worst the same of the pool that was served worst
     * @param paid the part of all hosts' time that was spent in pools
     */
    record Result(double served, double worst, double paid, int moves) {}

    private final class Pool {
        private final ServiceId id;
        private final double mean;
        private final double size;
        private final double task;
        private final double patience;
        private final int turn;
        private final Deque<double[]> queue = new ArrayDeque<>();
        private final Deque<double[]> lately = new ArrayDeque<>();
        private double backlog;
        private double arrived;
        private double inTime;

        Pool(ServiceId id, double mean, double size, double task, double patience, int turn) {
            this.id = id;
            this.mean = mean;
            this.size = size;
            this.task = task;
            this.patience = patience;
            this.turn = turn;
        }

        /** In its turn a pool asks for about four times its mean, else for a twentieth. */
        void arrive(double turnSeconds) {
            boolean surges = (int) (now / turnSeconds) % pools.size() == turn;
            double perStep = mean * (surges ? 4 : 0.05) / size * STEP_SECONDS;
            while (random.nextDouble() < perStep) {
                perStep -= 1;
                double work = size * (0.4 + 1.2 * random.nextDouble());
                queue.add(new double[] {now, work});
                lately.add(new double[] {now, work});
                backlog += work;
                arrived += work;
            }
            lately.removeIf(w -> now - w[0] > METER_SECONDS);
        }

        double offered() {
            return lately.stream().mapToDouble(w -> w[1]).sum() / METER_SECONDS;
        }

        PoolNeed need() {
            double pinned = 0;
            for (Host host : hosts) {
                pinned += host.pool.equals(id) ? host.pinnedCores() : 0;
            }
            return new PoolNeed(id, pinned, backlog < 1 ? 0 : backlog / task, backlog);
        }

        void serve(double cores) {
            double left = cores * STEP_SECONDS;
            while (left > 0 && !queue.isEmpty()) {
                double[] first = queue.peek();
                double done = Math.min(left, first[1]);
                left -= done;
                backlog -= done;
                first[1] -= done;
                inTime += now + task - first[0] <= patience ? done : 0;
                if (first[1] <= 1e-9) {
                    queue.remove();
                }
            }
        }
    }

    private final class Host {
        private final HostId id;
        private final boolean pinned;
        private ServiceId pool;
        private ServiceId to;
        private double emptyAt;
        private double leaveSince;
        private double backAt = Double.NEGATIVE_INFINITY;

        Host(String name, ServiceId pool, boolean pinned) {
            id = new HostId(name);
            this.pool = pool;
            this.pinned = pinned;
        }

        double pinnedCores() {
            return pinned ? hostCores / 2 : 0;
        }

        boolean leaving() {
            return to != null;
        }

        boolean isAway() {
            return now < backAt;
        }

        void leave(ServiceId target) {
            to = target;
            leaveSince = now;
            boolean idle = pool.equals(standby) || pools.get(pool).backlog < 1;
            emptyAt = idle ? now + 0.1 : now + 0.2 + random.nextDouble() * pools.get(pool).task;
        }

        void step() {
            if (to != null && now >= emptyAt) {
                pool = to;
                to = null;
                backAt = now + MOVE_SECONDS;
                moves++;
            } else if (to != null && now - leaveSince > EMPTY_PATIENCE_SECONDS) {
                to = null;
            }
        }

        HostView view() {
            boolean off = pool.equals(standby);
            boolean busy = !off && pools.get(pool).backlog > 1;
            return new HostView(
                    id,
                    pool,
                    Optional.of(new WorkerId("w-" + id)),
                    State.UP,
                    Optional.of("r1"),
                    (long) (hostCores * 1000),
                    off,
                    true,
                    false,
                    (busy ? 4 : 0) + (pinned ? 2 : 0),
                    pinned ? 2 : 0);
        }
    }
}
