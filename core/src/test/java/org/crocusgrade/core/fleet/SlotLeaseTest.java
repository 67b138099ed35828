package org.crocusgrade.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.crocusgrade.core.id.PoolId;
import org.junit.jupiter.api.Test;

/**
 * Slot leases between one owner and several borrowers over a simulated network, which has a fixed
 * delay unless faults are injected.
 */
class SlotLeaseTest {
    private static final PoolId SALES = SlotNetwork.SALES;

    @Test
    void demandIsMetWithinOneRoundTrip() {
        SlotNetwork net = new SlotNetwork(2, 3);
        net.setWanted(0, 10);
        net.run(SlotNetwork.ROUND_TRIP);
        assertThat(net.pool(0).held(SALES), is(10));
    }

    @Test
    void idleSlotsMoveToAnotherBorrowerWithinFourRoundTrips() {
        SlotNetwork net = new SlotNetwork(1, 2);
        net.setWanted(0, 8);
        net.run(Duration.ofMillis(20));
        assertThat(net.pool(0).held(SALES), is(8));
        net.setWanted(0, 2);
        net.setWanted(1, 6);
        net.run(SlotNetwork.ROUND_TRIP.multipliedBy(4));
        assertThat(net.pool(1).held(SALES), is(6));
    }

    @Test
    void scarceSlotsAreDividedEvenly() {
        SlotNetwork net = new SlotNetwork(3, 4);
        for (int i = 0; i < 4; i++) {
            net.setWanted(i, 24);
            net.run(Duration.ofMillis(20));
        }
        net.run(Duration.ofSeconds(1));
        for (int i = 0; i < 4; i++) {
            assertThat(net.pool(i).held(SALES), is(6));
        }
    }

    @Test
    void eachBorrowerGetsSlotsOverTimeWhenThereAreMoreBorrowersThanSlots() {
        SlotNetwork net = new SlotNetwork(1, 11);
        int[] heldSum = new int[11];
        for (int i = 0; i < 11; i++) {
            net.setWanted(i, 3);
        }
        for (int round = 0; round < 240; round++) {
            net.run(Duration.ofMillis(100));
            for (int i = 0; i < 11; i++) {
                heldSum[i] += net.pool(i).held(SALES);
            }
        }
        for (int i = 0; i < 11; i++) {
            assertThat(heldSum[i], greaterThanOrEqualTo(1));
        }
    }

    @Test
    void slotsOfACrashedBorrowerAreFreedOnceTheWorkerReportsThemIdle() {
        SlotNetwork net = new SlotNetwork(1, 2);
        net.setWanted(0, 8);
        net.run(Duration.ofMillis(20));
        List<Slot> running = net.acquireAll(0);
        net.crash(0);
        net.setWanted(1, 8);
        net.run(Duration.ofSeconds(4));
        assertThat(running.size(), is(8));
        assertThat(net.pool(1).held(SALES), is(0));
        assertThat(net.outstanding().running(), is(8));
        net.reportEnded(0);
        assertThat(net.outstanding().orphaned(), is(8));
        net.reportWorker(3);
        net.run(Duration.ofMillis(10));
        assertThat(net.pool(1).held(SALES), is(5));
        net.reportWorker(0);
        net.run(Duration.ofSeconds(1));
        assertThat(net.pool(1).held(SALES), is(8));
    }

    @Test
    void slotsOfADaemonReportedEndedStayLeasedUntilTheirLeasesEnd() {
        SlotNetwork net = new SlotNetwork(1, 2);
        net.setWanted(0, 8);
        net.run(Duration.ofMillis(20));
        net.crash(0);
        net.reportEnded(0);
        net.setWanted(1, 8);
        for (int i = 0; i < 60; i++) {
            net.run(Duration.ofMillis(50));
            net.reportWorker(0);
            assertThat(net.leasedTwice(), is(List.of()));
        }
        assertThat(net.pool(1).held(SALES), is(8));
    }

    @Test
    void aDrainingWorkerHasOutstandingSlotsUntilItsLastRequestEnds() {
        SlotNetwork net = new SlotNetwork(1, 2);
        net.setWanted(0, 4);
        net.run(Duration.ofMillis(20));
        Slot slot = net.acquire(0).orElseThrow();
        net.table().setServing(net.worker(0), false);
        net.run(Duration.ofSeconds(10));
        assertThat(net.acquire(0), is(Optional.empty()));
        assertThat(net.outstanding(), is(new SlotTable.Outstanding(0, 1, 0)));
        net.pool(0).release(slot, net.now(0));
        net.run(Duration.ofSeconds(1));
        assertThat(net.outstanding().isNone(), is(true));
    }

    @Test
    void anOwnerWhoseAuthorityHasEndedNeitherGrantsNorRenews() {
        SlotNetwork net = new SlotNetwork(1, 2);
        net.setWanted(0, 4);
        net.run(Duration.ofMillis(20));
        net.table().setAuthorityEnd(net.now(0));
        net.setWanted(1, 4);
        net.run(Duration.ofMillis(2100));
        assertThat(net.pool(0).held(SALES), is(0));
        assertThat(net.pool(1).held(SALES), is(0));
    }

    @Test
    void noSlotIsLeasedTwiceWhenMessagesAreLostDelayedOrDuplicated() {
        for (int seed = 0; seed < 6; seed++) {
            SlotNetwork net = new SlotNetwork(2, 4);
            net.injectFaults(seed);
            List<Slot> running = new ArrayList<>();
            for (int step = 0; step < 300; step++) {
                net.randomStep(running);
                assertThat(net.validSlots(), lessThanOrEqualTo(16));
                assertThat(net.leasedTwice(), is(List.of()));
            }
        }
    }

    @Test
    void anAdoptedWorkerIsNotGrantedBeforeItsRequestsAreCountedAfterTheLastLease() {
        SlotNetwork net = new SlotNetwork(1, 2);
        long leasesEndNanos = net.now(0) + Duration.ofSeconds(3).toNanos();
        net.table().adopt(net.worker(0), SlotNetwork.ZONE, SALES, 8, leasesEndNanos);
        net.setWanted(0, 8);
        net.reportWorker(0);
        assertThat(net.outstanding().leased(), is(8));
        net.run(Duration.ofSeconds(4));
        assertThat(net.pool(0).held(SALES), is(0));
        assertThat(net.outstanding().orphaned(), is(8));
        net.reportWorker(1);
        net.run(Duration.ofSeconds(1));
        assertThat(net.pool(0).held(SALES), is(7));
    }
}
