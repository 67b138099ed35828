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

/** Builds a borrower's demand message to one owner. */
final class SlotDemandBuilder {
    private final Map<PoolId, Integer> requested;
    private final Map<WorkerId, Long> held = new TreeMap<>();
    private final Map<WorkerId, Long> running = new TreeMap<>();

    SlotDemandBuilder(Map<PoolId, Integer> requested) {
        this.requested = requested == null ? Map.of() : requested;
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
        return requested.isEmpty() && held.isEmpty() && running.isEmpty();
    }

    Map<PoolId, Integer> requested() {
        return requested;
    }

    SlotDemand build(
            DaemonId self,
            BootId boot,
            AvailabilityZone zone,
            long sequence,
            OwnerSession session) {
        List<SlotDemand.PoolDemand> pools = new ArrayList<>();
        requested.forEach((pool, slots) -> pools.add(new SlotDemand.PoolDemand(pool, slots)));
        return new SlotDemand(
                self,
                boot,
                zone,
                sequence,
                session.ownerBoot(),
                session.lastAnswer(),
                pools,
                toList(held),
                toList(running));
    }

    private static List<WorkerSlots> toList(Map<WorkerId, Long> masks) {
        List<WorkerSlots> slots = new ArrayList<>();
        masks.forEach((worker, mask) -> slots.add(new WorkerSlots(worker, mask)));
        return slots;
    }
}
