package org.crocusgrade.core.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;

/** Collects a borrower's statement to one owner. */
final class StatementBuilder {
    private final Map<PoolId, Integer> asks;
    private final Map<WorkerId, Long> held = new TreeMap<>();
    private final Map<WorkerId, Long> running = new TreeMap<>();

    StatementBuilder(Map<PoolId, Integer> asks) {
        this.asks = asks == null ? Map.of() : asks;
    }

    void add(Slot slot, long now) {
        if (slot.isValid(now)) {
            held.merge(slot.worker(), slot.bit(), (a, b) -> a | b);
        }
        if (slot.isRunning()) {
            running.merge(slot.worker(), slot.bit(), (a, b) -> a | b);
        }
    }

    boolean isEmpty() {
        return asks.isEmpty() && held.isEmpty() && running.isEmpty();
    }

    Map<PoolId, Integer> asks() {
        return asks;
    }

    SlotDemand build(
            DaemonId self, BootId boot, AvailabilityZone zone, long sequence, OwnerLink link) {
        List<SlotDemand.PoolDemand> pools = new ArrayList<>();
        asks.forEach((pool, slots) -> pools.add(new SlotDemand.PoolDemand(pool, slots)));
        return new SlotDemand(
                self,
                boot,
                zone,
                sequence,
                link.ownerBoot(),
                link.lastAnswer(),
                pools,
                list(held),
                list(running));
    }

    private static List<WorkerSlots> list(Map<WorkerId, Long> masks) {
        List<WorkerSlots> list = new ArrayList<>();
        masks.forEach((worker, mask) -> list.add(new WorkerSlots(worker, mask)));
        return list;
    }
}
