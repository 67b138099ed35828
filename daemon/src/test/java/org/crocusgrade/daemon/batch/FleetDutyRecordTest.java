package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import org.crocusgrade.core.fleet.plan.SurgeSequenceSnapshot;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.daemon.batch.FleetDutyState.HostOrder;
import org.junit.jupiter.api.Test;

/** Checks that writes which the store applies late replace no newer record. */
class FleetDutyRecordTest {
    private static final int SEEDS = 40;
    private static final HostId FIRST = new HostId("h1");
    private static final HostId SECOND = new HostId("h2");

    @Test
    void aLateWriteReplacesNoNewerRecord() throws Exception {
        int applied = 0;
        for (int seed = 0; seed < SEEDS; seed++) {
            SimTime time = new SimTime();
            SimStore store = new SimStore(time, new Random(seed));
            store.write("holder", new byte[] {1});
            long token = store.read("holder").orElseThrow().revision();
            DutyOwnership held = new DutyOwnership(Duty.FLEET, "holder", token, 1);
            FleetDutyRecord record =
                    new FleetDutyRecord(SimRuntime.create(time, store.client(), new NoHosts()));
            record.load(() -> true, state -> assertThat(state, is(Optional.empty())));
            time.run(100);
            store.setLostShare(1);
            record.write(held, state(FIRST), () -> {}, () -> {});
            time.run(2000);
            store.setLostShare(0);
            boolean[] confirmed = {false};
            record.write(held, state(SECOND), () -> confirmed[0] = true, () -> {});
            time.run(20_000);
            if (confirmed[0]) {
                applied++;
                byte[] stored = store.read(StoreKeys.FLEET_DUTY_STATE).orElseThrow().value();
                assertThat(FleetDutyState.decode(stored).orders().keySet(), contains(SECOND));
            }
        }
        assertThat("the second write was applied in some cases", applied > 0, is(true));
    }

    private static FleetDutyState state(HostId host) {
        HostOrder order = new HostOrder(Optional.empty(), Duration.ZERO);
        SurgeSequenceSnapshot none =
                new SurgeSequenceSnapshot(List.of(), Optional.empty(), List.of());
        return new FleetDutyState(1, false, Map.of(host, order), Instant.EPOCH, none);
    }
}
