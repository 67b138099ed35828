package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import io.smallrye.mutiny.Uni;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import org.crocusgrade.core.fleet.plan.PoolBalancer;
import org.crocusgrade.core.fleet.plan.PoolNeed;
import org.crocusgrade.core.fleet.plan.SurgeSequenceForecast;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.maintenance.HostView;
import org.crocusgrade.core.port.CommitResult;
import org.crocusgrade.core.port.HostControl;
import org.crocusgrade.core.port.PlatformException;
import org.junit.jupiter.api.Test;

/** Checks that a host stays evacuated as long as an order to move it may be carried out. */
class HostMoverTest {
    private static final ServiceId HOT = new ServiceId("hot");
    private static final ServiceId CALM = new ServiceId("calm");
    private static final HostId HOST = new HostId("h1");

    private final SimTime time = new SimTime();
    private final UnansweredHosts platform = new UnansweredHosts();
    private final HostMover mover =
            new HostMover(
                    runtime(), new Authority(), new PoolBalancer(new SurgeSequenceForecast()));

    private int lacking;

    @Test
    void aHostStaysEvacuatedWhileAnUnansweredOrderMayBeCarriedOut() {
        assertThat(decide(HOT, true), contains(HOST));
        assertThat(platform.moves, hasSize(1));
        assertThat("counts as just sent", mover.isOrderOpen(HOST), is(true));
        platform.answering = true;
        time.run(4000);
        assertThat("no longer wanted, but ordered", decide(CALM, false), contains(HOST));
        time.run(7000);
        assertThat(decide(CALM, false), empty());
    }

    @Test
    void aMoveThatIsNotOrderedInTimeIsAbandoned() {
        assertThat(decide(HOT, false), contains(HOST));
        time.run(4000);
        assertThat(decide(CALM, false), empty());
        assertThat(platform.moves, empty());
    }

    /** Guards against a pool that fetches one host while it empties another. */
    @Test
    void aMoveFromAPoolThatNowLacksAHostIsGivenUp() {
        assertThat(decide(HOT, false), contains(HOST));
        lacking = 1;
        time.run(300);
        assertThat(decide(HOT, false), empty());
    }

    /** Decides with demand in one pool; returns the hosts that are to be evacuated. */
    private Set<HostId> decide(ServiceId demanding, boolean isEmpty) {
        Map<HostId, HostView> hosts = new HashMap<>();
        add(hosts, HOST, CALM, isEmpty);
        add(hosts, new HostId("h2"), CALM, false);
        add(hosts, new HostId("h3"), CALM, false);
        Map<ServiceId, PoolNeed> needs = new HashMap<>();
        double hot = demanding.equals(HOT) ? 8 : 0;
        needs.put(HOT, new PoolNeed(HOT, 0, hot, 0, 0));
        double calm = demanding.equals(CALM) ? 24 : 0;
        needs.put(CALM, new PoolNeed(CALM, 0, calm, 0, 0, 0, 0, lacking));
        Set<HostId> evacuate = new HashSet<>();
        List<FleetAction> orders = new ArrayList<>();
        double seconds = time.nanoTime() / 1e9;
        mover.decide(seconds, hosts, needs, Set.of(), evacuate, orders);
        orders.forEach(o -> o.step().run());
        return evacuate;
    }

    private static void add(Map<HostId, HostView> hosts, HostId id, ServiceId pool, boolean empty) {
        int running = id.equals(HOST) ? empty ? 0 : 1 : 2;
        hosts.put(
                id,
                new HostView(
                        id,
                        pool,
                        Optional.of(new WorkerId("w-" + id)),
                        HostControl.State.UP,
                        Optional.of("r1"),
                        8000,
                        false,
                        true,
                        true,
                        running,
                        0,
                        true));
    }

    private BatchRuntime runtime() {
        return SimRuntime.create(time, new SimStore(time, new Random(1)).client(), platform);
    }

    /** Answers no order until it is told to refuse them. */
    private static final class UnansweredHosts implements HostControl {
        private final List<HostId> moves = new ArrayList<>();
        private boolean answering;

        @Override
        public Uni<List<PooledHost>> hosts() {
            return Uni.createFrom().item(List.of());
        }

        @Override
        public Uni<Outcome> move(HostId host, ServiceId pool, Credentials credentials) {
            moves.add(host);
            return answering
                    ? Uni.createFrom().item(Outcome.BUSY)
                    : Uni.createFrom().failure(new PlatformException("no answer"));
        }

        @Override
        public Uni<Outcome> maintain(HostId host, int wave, Credentials credentials) {
            return Uni.createFrom().item(Outcome.BUSY);
        }
    }

    private static final class Authority implements FleetAuthority {
        private final DutyOwnership held = new DutyOwnership(Duty.FLEET, "key", 7, 1);

        @Override
        public Optional<DutyOwnership> ownership() {
            return Optional.of(held);
        }

        @Override
        public HostControl.Credentials authorizeOrder(HostId host, Optional<ServiceId> to) {
            return new HostControl.Credentials("d0", held.token());
        }

        @Override
        public void refreshHostsSoon() {
            // The views are given by the test.
        }

        @Override
        public boolean isConfirmedBy(DutyOwnership ownership, CommitResult result) {
            return result.applied();
        }
    }
}
