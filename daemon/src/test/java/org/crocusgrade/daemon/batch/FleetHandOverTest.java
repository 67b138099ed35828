package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.util.List;
import java.util.function.Consumer;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.daemon.batch.SimHosts.HostOrder;
import org.crocusgrade.peer.proto.EvacuationMessage;
import org.crocusgrade.peer.proto.PoolStatusMessage;
import org.crocusgrade.peer.proto.WorkerStatusMessage;
import org.junit.jupiter.api.Test;

/**
 * A maintenance wave continues while the holder of the fleet duty changes, and no two holders order
 * the same host within the order spacing.
 */
class FleetHandOverTest {
    private final SimFleet fleet = new SimFleet(1);

    @Test
    void aWaveCompletesWithoutInterruptingTasks() {
        fleet.requestWave(1);
        for (int i = 0; i < 40; i++) {
            fleet.submit(3);
            fleet.time.run(1000);
        }
        assertThat(fleet.hosts.maintained(), hasSize(fleet.workers.size()));
        assertThat(fleet.unfinished(), empty());
        assertThat(fleet.checks.violations(), empty());
    }

    @Test
    void theNextHolderContinuesImmediatelyAfterARelease() {
        HostOrder last = firstOrderBefore(d -> d.loop.execute(d.node::leave));
        HostOrder next = firstOrderAfter(last);
        assertThat(next.millis() - last.millis(), lessThan(3000L + 500));
        assertThat("another host than the last", next.host(), is(not(last.host())));
        assertThat(fleet.checks.violations(), empty());
    }

    /**
     * The failed holder recorded which hosts it was about to order, so its successor leaves only
     * these alone. That no host gets orders of both within the spacing is checked by {@link
     * SimHosts}.
     */
    @Test
    void theNextHolderOrdersOtherHostsAsSoonAsItHasTheDutyAfterAFailure() {
        HostOrder last = firstOrderBefore(d -> fleet.kill(d.name));
        HostOrder next = firstOrderAfter(last);
        assertThat(next.millis() - last.millis(), lessThan(3500L));
        assertThat("another host than the last", next.host(), is(not(last.host())));
        fleet.time.run(30_000);
        assertThat(fleet.hosts.maintained(), hasSize(fleet.workers.size()));
        assertThat(fleet.checks.violations(), empty());
    }

    @Test
    void theNextHolderWaitsForTheOrderSpacingOfAHostAfterAFailure() {
        fleet.hosts.setRefusing(true);
        HostOrder last = firstOrderBefore(d -> fleet.kill(d.name));
        fleet.time.run(20_000);
        long next =
                fleet.hosts.orders().stream()
                        .filter(o -> o.host().equals(last.host()) && o.token() != last.token())
                        .mapToLong(HostOrder::millis)
                        .min()
                        .orElseThrow();
        assertThat(next - last.millis(), greaterThanOrEqualTo(3500L));
        assertThat(fleet.checks.violations(), empty());
    }

    /**
     * The store withdraws all leases while an order is on its way, so the next holder acts before
     * the order is carried out.
     */
    @Test
    void anOrderOnItsWayCountsAgainstTheLimitOfTheWave() {
        fleet.requestWave(1);
        fleet.hosts.setDelay(1500);
        while (fleet.hosts.sent() == 0) {
            fleet.time.run(1);
        }
        fleet.store.revokeAll();
        fleet.hosts.setDelay(5);
        fleet.time.run(40_000);
        assertThat(fleet.checks.violations(), empty());
        assertThat(fleet.hosts.maintained(), hasSize(fleet.workers.size()));
    }

    /** A write of the former holder that is applied late must not replace a newer record. */
    @Test
    void recordsOfSuccessiveHoldersViolateNoInvariantWhileAnswersAreLost() {
        for (int offset = 0; offset < 30; offset++) {
            SimFleet lossy = new SimFleet(offset);
            lossy.requestWave(1);
            lossy.store.setLostShare(0.5);
            for (int i = 0; i < 6; i++) {
                lossy.submit(3);
                lossy.time.run(700 + 37 * offset);
                DaemonId name = lossy.holder(Duty.FLEET).name;
                lossy.kill(name);
                lossy.time.run(2500);
                lossy.boot(name);
            }
            lossy.store.setLostShare(0);
            lossy.time.run(40_000);
            assertThat("offset " + offset, lossy.checks.violations(), empty());
            assertThat(lossy.hosts.maintained(), hasSize(lossy.workers.size()));
        }
    }

    @Test
    void theNextHolderSkipsRecentlyOrderedHosts() {
        fleet.hosts.setRefusing(true);
        HostOrder last = firstOrderBefore(d -> d.loop.execute(d.node::leave));
        fleet.time.run(1500);
        fleet.hosts.setRefusing(false);
        HostOrder next = firstOrderAfter(last);
        assertThat(next.millis() - last.millis(), lessThan(3000L));
        assertThat("another host than the last", next.host(), is(not(last.host())));
        fleet.time.run(20_000);
        assertThat(fleet.hosts.maintained(), hasSize(fleet.workers.size()));
        assertThat(fleet.checks.violations(), empty());
    }

    @Test
    void workersWithStaleEvacuationsAcceptRunsAgain() {
        EvacuationMessage stale =
                EvacuationMessage.newBuilder()
                        .setService(SimFleet.SERVICE.value())
                        .addWorkers("w1")
                        .build();
        SimFleet.Daemon owner = fleet.holder();
        owner.loop.execute(() -> owner.node.onEvacuation(stale));
        fleet.time.run(50);
        assertThat(evacuating(owner), is(1L));
        fleet.time.run(1000);
        assertThat(evacuating(owner), is(0L));
    }

    private static long evacuating(SimFleet.Daemon owner) {
        return owner.node.poolStatus(SimFleet.SERVICE).stream()
                .filter(WorkerStatusMessage::getEvacuating)
                .count();
    }

    @Test
    void repeatedHandoversViolateNoInvariant() {
        fleet.requestWave(1);
        for (int i = 0; i < 12; i++) {
            fleet.submit(3);
            fleet.time.run(1700);
            SimFleet.Daemon holder = fleet.holder(Duty.FLEET);
            DaemonId name = holder.name;
            holder.loop.execute(holder.node::leave);
            fleet.time.run(300);
            fleet.kill(name);
            fleet.boot(name);
        }
        fleet.time.run(30_000);
        assertThat(fleet.hosts.maintained(), hasSize(fleet.workers.size()));
        assertThat(fleet.unfinished(), empty());
        assertThat(fleet.checks.violations(), empty());
    }

    /**
     * The holder is frozen while the store confirms its duty, and reads the confirmation when
     * another daemon has held the duty for seconds.
     */
    @Test
    void anOutdatedConfirmationOfTheDutyAllowsNoOrder() {
        fleet.requestWave(1);
        while (fleet.hosts.orders().isEmpty()) {
            fleet.time.run(1);
        }
        long firstOrder = fleet.time.millis();
        for (long before = 1; before <= 20; before++) {
            SimFleet frozen = new SimFleet(1);
            frozen.requestWave(1);
            frozen.time.run(firstOrder - before - frozen.time.millis());
            frozen.holder(Duty.FLEET).loop.freeze(7000);
            frozen.time.run(30_000);
            assertThat(before + " ms before", frozen.checks.violations(), empty());
            assertThat(frozen.hosts.maintained(), hasSize(frozen.workers.size()));
        }
    }

    /**
     * A host that is suspended does not count the time on its monotonic clock: after that, the
     * confirmation of a pool's duty looks recent although another daemon holds the duty.
     */
    @Test
    void aSuspendedOwnerExtendsNoLeases() {
        SimFleet.Daemon owner = fleet.holder();
        assertThat(owner.node.mayExtendLeases(SimFleet.SERVICE), is(true));
        fleet.store.setDown(true);
        fleet.time.suspend(6000);
        assertThat(owner.node.mayExtendLeases(SimFleet.SERVICE), is(false));
    }

    /**
     * After a freeze, another daemon may hold the duty, also if the last confirmation is recent.
     */
    @Test
    void aFrozenOwnerExtendsNoLeasesUntilItsDutyIsConfirmedAgain() {
        SimFleet.Daemon owner = fleet.holder();
        owner.client.setCut(true);
        owner.loop.freeze(2500);
        fleet.time.run(2500);
        assertThat(owner.node.mayExtendLeases(SimFleet.SERVICE), is(false));
        fleet.time.run(700);
        assertThat("not confirmed since", owner.node.mayExtendLeases(SimFleet.SERVICE), is(false));
    }

    @Test
    void aFormerHoldersEvacuationIsIgnored() {
        fleet.requestWave(1);
        while (fleet.hosts.orders().isEmpty()) {
            fleet.time.run(10);
        }
        SimFleet.Daemon owner = fleet.holder();
        long before = evacuating(owner);
        assertThat(before, greaterThan(0L));
        EvacuationMessage former =
                EvacuationMessage.newBuilder()
                        .setService(SimFleet.SERVICE.value())
                        .setToken(1)
                        .setSequence(1_000_000)
                        .build();
        owner.loop.execute(() -> owner.node.onEvacuation(former));
        fleet.time.run(1);
        assertThat(evacuating(owner), is(before));
    }

    /**
     * The former owner of a pool still reports that a host is empty, while its successor runs tasks
     * on that host.
     */
    @Test
    void aFormerOwnersReportAllowsNoOrder() {
        fleet.submit(120);
        fleet.time.run(100);
        SimFleet.Daemon holder = fleet.holder(Duty.FLEET);
        fleet.requestWave(1);
        long fleetToken = fleet.store.read(StoreKeys.holder(Duty.FLEET)).orElseThrow().revision();
        PoolStatusMessage.Builder former =
                PoolStatusMessage.newBuilder()
                        .setService(SimFleet.SERVICE.value())
                        .setToken(1)
                        .setSequence(1_000_000)
                        .setEvacuationToken(fleetToken)
                        .setEvacuationSequence(Long.MAX_VALUE);
        fleet.workers
                .keySet()
                .forEach(
                        w ->
                                former.addWorkers(
                                        WorkerStatusMessage.newBuilder()
                                                .setWorker(w.value())
                                                .setEvacuating(true)));
        for (int i = 0; i < 3000; i++) {
            holder.loop.execute(() -> holder.node.onPoolStatus(holder.name, former.build()));
            fleet.time.run(1);
        }
        assertThat(fleet.checks.violations(), empty());
    }

    /**
     * An evacuation that has ended and begins again counts only once the owner has received the new
     * request: it may have started tasks in between.
     */
    @Test
    void aReportFromBeforeTheRequestIsNoProofThatAWorkerStaysEmpty() {
        SimFleet.Daemon holder = fleet.holder(Duty.FLEET);
        fleet.submit(120);
        fleet.time.run(500);
        fleet.requestWave(1);
        PoolStatusMessage.Builder early =
                PoolStatusMessage.newBuilder()
                        .setService(SimFleet.SERVICE.value())
                        .setToken(Long.MAX_VALUE)
                        .setSequence(1_000_000);
        fleet.workers
                .keySet()
                .forEach(
                        w ->
                                early.addWorkers(
                                        WorkerStatusMessage.newBuilder()
                                                .setWorker(w.value())
                                                .setEvacuating(true)));
        for (int i = 0; i < 600; i++) {
            PoolStatusMessage status = early.setSequence(1_000_000 + i).build();
            holder.loop.execute(() -> holder.node.onPoolStatus(holder.name, status));
            fleet.time.run(5);
        }
        assertThat(fleet.hosts.orders(), empty());
    }

    /**
     * Runs until the first host was ordered, then ends the holder of the fleet duty in the given
     * way; returns that order.
     */
    private HostOrder firstOrderBefore(Consumer<SimFleet.Daemon> end) {
        fleet.requestWave(1);
        while (fleet.hosts.orders().isEmpty()) {
            fleet.time.run(10);
            assertThat(fleet.time.millis(), lessThan(30_000L));
        }
        fleet.time.run(100);
        end.accept(fleet.holder(Duty.FLEET));
        return fleet.hosts.orders().get(0);
    }

    private HostOrder firstOrderAfter(HostOrder last) {
        for (int i = 0; i < 4000; i++) {
            fleet.time.run(10);
            List<HostOrder> orders = fleet.hosts.orders();
            HostOrder newest = orders.get(orders.size() - 1);
            if (newest.token() != last.token()) {
                assertThat(newest.token(), greaterThan(last.token()));
                return newest;
            }
        }
        throw new AssertionError("no other holder ordered anything");
    }
}
