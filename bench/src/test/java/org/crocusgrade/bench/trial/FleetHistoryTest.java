package org.crocusgrade.bench.trial;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import org.crocusgrade.core.fleet.RackCodec;
import org.crocusgrade.core.fleet.RackRecord;
import org.crocusgrade.core.fleet.WorkerRecord;
import org.crocusgrade.core.fleet.WorkerState;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.Epoch;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.RackId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.standin.platform.Change;
import org.crocusgrade.standin.worker.Receipt;
import org.junit.jupiter.api.Test;

class FleetHistoryTest {
    private static final PoolId LOTS = new PoolId("lots");
    private static final PoolId SPARE = new PoolId("spare");

    private final FleetHistory history =
            new FleetHistory(List.of(change(1, 0, LOTS), change(2, 4, LOTS), change(3, 6, SPARE)));

    @Test
    void countsChangesOfPoolOnly() {
        assertThat(history.workers(), is(1));
        assertThat(history.moves(at(0)), is(1));
        assertThat(history.moves(at(6)), is(0));
    }

    /**
     * The worker is in a pool that is not spare from 0 s to 6 s, with half of its slots busy for 2
     * s: 5 of the 10 seconds are idle.
     */
    @Test
    void idleWorkersExcludeBusySlots() {
        List<Receipt> receipts =
                java.util.Collections.nCopies(
                        4,
                        new Receipt(
                                "w-1",
                                "r",
                                "n",
                                "",
                                "lots",
                                "lots",
                                "GET",
                                at(1),
                                at(3),
                                Receipt.Ending.COMPLETED));
        assertThat(history.idleWorkers(receipts, SPARE, at(0), at(10)), closeTo(0.5, 1e-9));
    }

    private static Change change(long revision, int second, PoolId pool) {
        WorkerRecord worker =
                new WorkerRecord(new WorkerId("w-1"), pool, pool, WorkerState.SERVING);
        RackRecord rack =
                new RackRecord(
                        new RackId("rack-1"),
                        new AvailabilityZone("z-1"),
                        Optional.empty(),
                        Optional.empty(),
                        new Epoch(1),
                        List.of(worker));
        byte[] value = RackCodec.encode(rack);
        return new Change(revision, "fleet/r/rack-1", Optional.of(value), at(second));
    }

    private static Instant at(int second) {
        return Instant.EPOCH.plusSeconds(second);
    }
}
