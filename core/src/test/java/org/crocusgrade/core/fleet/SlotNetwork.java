package org.crocusgrade.core.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;

/**
 * A simulated network of one owner and its borrowers. Each has a clock of its own, and messages can
 * be lost, delayed and duplicated.
 */
final class SlotNetwork {
    static final PoolId SALES = new PoolId("sales");
    static final AvailabilityZone ZONE = new AvailabilityZone("rennes");

    private static final int SLOTS = 8;
    private static final long STEP_NANOS = 1_000_000;
    private static final long DELAY_NANOS = 1_400_000;

    /**
     * Both ways, each rounded up to whole steps, plus the step in which each message is answered.
     */
    static final Duration ROUND_TRIP = Duration.ofMillis(2 * 3);

    private static final DaemonId OWNER = new DaemonId("owner");

    private record Message(long at, long order, Runnable delivery) {}

    private final SlotTable table =
            new SlotTable(OWNER, new BootId("owner-1"), SlotLeaseTiming.DEFAULT);
    private final List<SlotPool> pools = new ArrayList<>();
    private final List<Boolean> crashed = new ArrayList<>();
    private final List<WorkerId> workers = new ArrayList<>();
    private final PriorityQueue<Message> queue =
            new PriorityQueue<>(
                    Comparator.comparingLong(Message::at).thenComparingLong(Message::order));
    private Random random = new Random(0);
    private boolean faultsEnabled;
    private long time;
    private long order;

    SlotNetwork(int workerCount, int daemons) {
        List<SlotPool.Placement> placements = new ArrayList<>();
        for (int i = 0; i < workerCount; i++) {
            WorkerId worker = new WorkerId("w" + i);
            workers.add(worker);
            table.addNew(worker, ZONE, SALES, SLOTS);
            placements.add(new SlotPool.Placement(worker, ZONE, SALES, OWNER, SLOTS, 64));
        }
        for (int i = 0; i < daemons; i++) {
            SlotPool pool = new SlotPool(daemon(i), boot(i), ZONE, SlotLeaseTiming.DEFAULT);
            pool.setWorkers(placements);
            pools.add(pool);
            crashed.add(false);
        }
    }

    private static DaemonId daemon(int i) {
        return new DaemonId("d" + i);
    }

    private static BootId boot(int i) {
        return new BootId("d" + i + "-1");
    }

    SlotTable table() {
        return table;
    }

    SlotPool pool(int i) {
        return pools.get(i);
    }

    WorkerId worker(int i) {
        return workers.get(i);
    }

    /**
     * Returns the time on a borrower's clock, which has another origin and a rate that is off by up
     * to 0.5 %.
     */
    long now(int i) {
        return time + time / 200 * (i % 3 - 1) + i * 1_000_000_007L;
    }

    private long ownerNow() {
        return time;
    }

    void setWanted(int i, int slots) {
        pools.get(i).setWanted(SALES, slots);
    }

    Optional<Slot> acquire(int i) {
        return pools.get(i).acquire(SALES, worker -> true, now(i));
    }

    List<Slot> acquireAll(int i) {
        List<Slot> taken = new ArrayList<>();
        for (Optional<Slot> s = acquire(i); s.isPresent(); s = acquire(i)) {
            taken.add(s.get());
        }
        return taken;
    }

    void crash(int i) {
        crashed.set(i, true);
    }

    void reportEnded(int i) {
        send(table.onBorrowerEnded(daemon(i), boot(i), ownerNow()));
    }

    void reportWorker(int running) {
        send(table.onWorkerRunning(worker(0), running, ownerNow(), ownerNow()));
    }

    SlotTable.Outstanding outstanding() {
        return table.outstanding(worker(0), ownerNow());
    }

    void injectFaults(long seed) {
        random = new Random(seed);
        faultsEnabled = true;
    }

    void run(Duration duration) {
        long end = time + duration.toNanos();
        while (time < end) {
            time += STEP_NANOS;
            while (!queue.isEmpty() && queue.peek().at() <= time) {
                queue.poll().delivery().run();
            }
            send(table.tick(ownerNow()));
            for (int i = 0; i < pools.size(); i++) {
                tick(i);
            }
        }
    }

    private void tick(int i) {
        if (crashed.get(i)) {
            return;
        }
        for (SlotPool.Outgoing out : pools.get(i).tick(now(i))) {
            enqueue(() -> send(table.onDemand(out.demand(), ownerNow())));
        }
    }

    private void send(List<SlotTable.Outgoing> messages) {
        for (SlotTable.Outgoing out : messages) {
            int i = Integer.parseInt(out.to().value().substring(1));
            enqueue(() -> deliver(i, out.grant()));
        }
    }

    private void deliver(int i, SlotGrant grant) {
        if (!crashed.get(i)) {
            pools.get(i).onGrant(grant, now(i));
        }
    }

    private void enqueue(Runnable delivery) {
        if (faultsEnabled && random.nextInt(5) == 0) {
            return;
        }
        long delay = DELAY_NANOS;
        if (faultsEnabled && random.nextInt(10) == 0) {
            delay += random.nextInt(3_000) * 1_000_000L;
        }
        queue.add(new Message(time + delay, order++, delivery));
        if (faultsEnabled && random.nextInt(10) == 0) {
            queue.add(new Message(time + 2 * delay, order++, delivery));
        }
    }

    /** Changes a demand, starts a request or ends one, then runs for up to 100 ms. */
    void randomStep(List<Slot> running) {
        int i = random.nextInt(pools.size());
        switch (random.nextInt(3)) {
            case 0 -> setWanted(i, random.nextInt(12));
            case 1 -> acquire(i).ifPresent(running::add);
            default -> {
                if (!running.isEmpty()) {
                    Slot slot = running.remove(random.nextInt(running.size()));
                    pools.stream().filter(p -> p.contains(slot)).forEach(p -> p.release(slot, 0));
                }
            }
        }
        run(Duration.ofMillis(random.nextInt(100)));
    }

    /** Returns how many slots may be used at this moment, summed over all borrowers. */
    int validSlots() {
        int n = 0;
        for (int i = 0; i < pools.size(); i++) {
            n += inUse(i).size();
        }
        return n;
    }

    /** Returns the slots that more than one borrower may use, or uses, at this moment. */
    List<String> leasedTwice() {
        Set<String> seen = new HashSet<>();
        List<String> twice = new ArrayList<>();
        for (int i = 0; i < pools.size(); i++) {
            for (Slot slot : inUse(i)) {
                String name = slot.worker() + "/" + slot.index();
                if (!seen.add(name)) {
                    twice.add(name);
                }
            }
        }
        return twice;
    }

    private List<Slot> inUse(int i) {
        long now = now(i);
        return pools.get(i).slots().stream()
                .filter(s -> !s.isReturned() && (s.isRunning() || s.isValid(now)))
                .toList();
    }
}
