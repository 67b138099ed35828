package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.crocusgrade.core.fleet.plan.SurgeSequenceSnapshot;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.port.FormatException;
import org.crocusgrade.core.port.HostControl.PooledHost;
import org.crocusgrade.core.port.HostControl.State;
import org.crocusgrade.core.submission.Resources;
import org.crocusgrade.daemon.batch.FleetDutyState.HostOrder;
import org.crocusgrade.peer.proto.StoredFleet;
import org.junit.jupiter.api.Test;

/**
 * Guards against hosts that stand empty in a pool that surges, for orders of a lost holder that
 * have been carried out, and against runs on a host for which an order may still be on its way.
 */
class FormerOrdersTest {
    private static final Duration SPACING = Duration.ofMillis(3500);
    private static final HostId HOST = new HostId("h1");
    private static final ServiceId CALM = new ServiceId("calm");
    private static final ServiceId HOT = new ServiceId("hot");

    private final FormerOrders orders = new FormerOrders(SPACING);

    @Test
    void hostThatHasArrivedIsFree() {
        restore(move(Duration.ZERO));
        see(CALM, State.UP);
        assertThat(orders.open(), contains(HOST));
        see(HOT, State.MOVING);
        assertThat(orders.open(), contains(HOST));
        assertThat(orders.moves(), is(Map.of(HOST, HOT)));
        see(HOT, State.UP);
        assertThat(orders.open(), empty());
        assertThat(orders.moves(), is(Map.of()));
    }

    @Test
    void hostIsFreeOnceItsMaintenanceWasSeenToEnd() {
        restore(Map.of(HOST, new HostOrder(Optional.empty(), Duration.ZERO)));
        see(CALM, State.UP);
        assertThat("may not have begun", orders.open(), contains(HOST));
        see(CALM, State.MAINTENANCE);
        assertThat(orders.open(), contains(HOST));
        see(CALM, State.UP);
        assertThat(orders.open(), empty());
    }

    /** A failure of the host shows nothing about an order that is on its way. */
    @Test
    void hostThatWasDownIsNotFree() {
        restore(Map.of(HOST, new HostOrder(Optional.empty(), Duration.ZERO)));
        see(CALM, State.DOWN);
        see(CALM, State.UP);
        assertThat(orders.open(), contains(HOST));
    }

    @Test
    void moveOfAnOlderVersionIsNeverSeenToEnd() throws FormatException {
        byte[] older = StoredFleet.newBuilder().addOrderedHosts(HOST.value()).build().toByteArray();
        orders.restore(FleetDutyState.decode(older), true, 0);
        see(HOT, State.UP);
        assertThat(orders.open(), contains(HOST));
        assertThat(orders.moves(), is(Map.of()));
    }

    /**
     * Daemons that restart in turn hand the duty on every second. Guards against hosts that nobody
     * may order, because each holder counts the time anew.
     */
    @Test
    void spacingCountsFromTheOrderThroughSeveralHandOvers() {
        restore(move(Duration.ofMillis(1000)));
        assertThat(orders.mayOrder(HOST, millis(2000)), is(false));
        FleetDutyState next = state(move(orders.recorded(millis(2000)).get(HOST).age()));
        orders.restore(next, false, millis(2000));
        assertThat(orders.mayOrder(HOST, millis(2400)), is(false));
        assertThat(orders.mayOrder(HOST, millis(2600)), is(true));
    }

    private static Map<HostId, HostOrder> move(Duration age) {
        return Map.of(HOST, new HostOrder(Optional.of(HOT), age));
    }

    private static long millis(long millis) {
        return Duration.ofMillis(millis).toNanos();
    }

    private void restore(Map<HostId, HostOrder> kinds) {
        orders.restore(state(kinds), true, 0);
    }

    private static FleetDutyState state(Map<HostId, HostOrder> kinds) {
        SurgeSequenceSnapshot none =
                new SurgeSequenceSnapshot(List.of(), Optional.empty(), List.of());
        return new FleetDutyState(1, false, kinds, Instant.EPOCH, none);
    }

    private void see(ServiceId pool, State state) {
        orders.onHosts(
                List.of(
                        new PooledHost(
                                HOST,
                                pool,
                                state,
                                "zone",
                                List.of("a", "r1"),
                                new Resources(8000, 65_536, 0),
                                Optional.empty())));
    }
}
