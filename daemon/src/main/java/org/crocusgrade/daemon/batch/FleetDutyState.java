package org.crocusgrade.daemon.batch;

import com.google.protobuf.InvalidProtocolBufferException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.fleet.plan.SurgeSequenceSnapshot;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.port.FormatException;
import org.crocusgrade.peer.proto.StoredFleet;
import org.crocusgrade.peer.proto.StoredHostOrder;
import org.crocusgrade.peer.proto.StoredSurge;

/**
 * State that a holder of the fleet duty stores for the next one.
 *
 * @param term the term of the holder that wrote it
 * @param handedBack whether that holder released the duty with no order open
 * @param orders its orders for hosts, sent shortly before or about to be sent; those of a record of
 *     an older version, which names only the hosts, count as just sent, and for maintenance
 * @param written when it was written, by the clock of the writer
 * @param surges what the writer had observed of the surges of the pools
 */
record FleetDutyState(
        long term,
        boolean handedBack,
        Map<HostId, HostOrder> orders,
        Instant written,
        SurgeSequenceSnapshot surges) {
    /** Copies the map. */
    FleetDutyState {
        orders = Map.copyOf(orders);
    }

    byte[] encode() {
        StoredFleet.Builder stored =
                StoredFleet.newBuilder()
                        .setTerm(term)
                        .setHandedBack(handedBack)
                        .setWrittenEpochMs(written.toEpochMilli())
                        .addAllLagSeconds(surges.lags())
                        .setLatestPool(surges.latest().map(ServiceId::value).orElse(""));
        orders.keySet().forEach(h -> stored.addOrderedHosts(h.value()));
        orders.forEach(
                (host, order) ->
                        stored.addOrders(
                                StoredHostOrder.newBuilder()
                                        .setHost(host.value())
                                        .setPool(order.to.map(ServiceId::value).orElse(""))
                                        .setAgeMs(order.age.toMillis())));
        for (SurgeSequenceSnapshot.PoolSnapshot pool : surges.pools()) {
            stored.addSurges(
                    StoredSurge.newBuilder()
                            .setPool(pool.pool().value())
                            .setLow(pool.low())
                            .setHigh(pool.high())
                            .setPeak(pool.peak())
                            .setSinceStart(pool.sinceStart())
                            .setSurging(pool.surging())
                            .setFollower(pool.follower().map(ServiceId::value).orElse("")));
        }
        return stored.build().toByteArray();
    }

    static FleetDutyState decode(byte[] bytes) throws FormatException {
        try {
            StoredFleet stored = StoredFleet.parseFrom(bytes);
            Map<HostId, HostOrder> orders = new HashMap<>();
            HostOrder unknown = new HostOrder(Optional.empty(), Duration.ZERO);
            stored.getOrderedHostsList().forEach(h -> orders.put(new HostId(h), unknown));
            for (StoredHostOrder order : stored.getOrdersList()) {
                Duration age = Duration.ofMillis(order.getAgeMs());
                orders.put(
                        new HostId(order.getHost()), new HostOrder(service(order.getPool()), age));
            }
            List<SurgeSequenceSnapshot.PoolSnapshot> pools = new ArrayList<>();
            for (StoredSurge surge : stored.getSurgesList()) {
                pools.add(
                        new SurgeSequenceSnapshot.PoolSnapshot(
                                new ServiceId(surge.getPool()),
                                surge.getLow(),
                                surge.getHigh(),
                                surge.getPeak(),
                                surge.getSinceStart(),
                                surge.getSurging(),
                                service(surge.getFollower())));
            }
            return new FleetDutyState(
                    stored.getTerm(),
                    stored.getHandedBack(),
                    orders,
                    Instant.ofEpochMilli(stored.getWrittenEpochMs()),
                    new SurgeSequenceSnapshot(
                            stored.getLagSecondsList(), service(stored.getLatestPool()), pools));
        } catch (InvalidProtocolBufferException | IllegalArgumentException e) {
            throw new FormatException("cannot parse stored state of the fleet duty", e);
        }
    }

    /**
     * Returns the observed surges with all ages advanced to the given time. The clocks of two
     * daemons may differ, so a negative age counts as zero.
     */
    SurgeSequenceSnapshot surgesAt(Instant now) {
        Duration age = Duration.between(written, now);
        return surges.agedBy(age.isNegative() ? 0 : age.toMillis() / 1000.0);
    }

    private static Optional<ServiceId> service(String name) {
        return name.isEmpty() ? Optional.empty() : Optional.of(new ServiceId(name));
    }

    /**
     * An order for a host.
     *
     * @param to the pool to which it is moved; empty if it is maintained
     * @param age the time since the order was sent, zero if it is about to be sent
     */
    record HostOrder(Optional<ServiceId> to, Duration age) {
        /** Rejects null fields; negative ages become zero, so that nothing is ordered too soon. */
        HostOrder {
            Objects.requireNonNull(to);
            age = age.isNegative() ? Duration.ZERO : age;
        }
    }
}
