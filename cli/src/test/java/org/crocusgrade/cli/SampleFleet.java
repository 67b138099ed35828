package org.crocusgrade.cli;

import io.vertx.mutiny.core.Vertx;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Optional;
import org.crocusgrade.core.fleet.RackCodec;
import org.crocusgrade.core.fleet.RackRecord;
import org.crocusgrade.core.fleet.WorkerRecord;
import org.crocusgrade.core.fleet.WorkerState;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.Epoch;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.RackId;
import org.crocusgrade.core.id.Region;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.member.MemberCodec;
import org.crocusgrade.core.member.MemberRecord;
import org.crocusgrade.core.port.KeyValueStore;

/**
 * Writes a sample fleet to a key-value store: two racks, of which one has no owner, and two
 * daemons, of which one does not answer.
 */
final class SampleFleet {
    private static final String STATUS =
            """
            {"ready": true, "configVersion": 1, "racksOwned": 1,
             "problems": [{"code": "no-slots", "since": "2026-01-01T00:00:00Z",
               "text": "Requests of a service wait and no slot is held for them."}],
             "planner": {"moves": [{"at": "2026-01-01T00:00:00Z", "worker": "w2",
               "from": "broker-desk", "to": "lot-valuation", "reason": "surge"}]},
             "services": {"lot-valuation": {"queued": 7, "running": 16},
               "broker-desk": {"queued": 0, "running": 1}}}
            """;

    private SampleFleet() {}

    static void write(KeyValueStore store, Vertx vertx) {
        int port =
                vertx.createHttpServer()
                        .requestHandler(r -> r.response().endAndForget(STATUS))
                        .listen(0, "127.0.0.1")
                        .await()
                        .indefinitely()
                        .actualPort();
        put(store, "member/entry-1", MemberCodec.encode(member("entry-1", port)));
        put(store, "member/entry-2", MemberCodec.encode(member("entry-2", 1)));
        put(
                store,
                "fleet/bretagne/rack-1",
                rack(
                        "rack-1",
                        Optional.of("entry-1"),
                        worker("w1", "lot-valuation", "lot-valuation", WorkerState.SERVING),
                        worker("w2", "broker-desk", "lot-valuation", WorkerState.DRAINING)));
        put(
                store,
                "fleet/bretagne/rack-2",
                rack(
                        "rack-2",
                        Optional.empty(),
                        worker("w3", "lot-valuation", "lot-valuation", WorkerState.MAINTENANCE),
                        worker("w4", "lot-valuation", "lot-valuation", WorkerState.QUARANTINED)));
    }

    private static void put(KeyValueStore store, String key, byte[] value) {
        store.compareAndSet(key, KeyValueStore.ABSENT, value, Optional.empty())
                .await()
                .indefinitely();
    }

    private static MemberRecord member(String daemon, int port) {
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", port);
        return new MemberRecord(
                new DaemonId(daemon),
                new BootId("b"),
                new Region("bretagne"),
                new AvailabilityZone("rennes"),
                address,
                address,
                address);
    }

    private static byte[] rack(String rack, Optional<String> owner, WorkerRecord... workers) {
        return RackCodec.encode(
                new RackRecord(
                        new RackId(rack),
                        new AvailabilityZone("rennes"),
                        owner.map(DaemonId::new),
                        owner.map(o -> new BootId("b")),
                        new Epoch(3),
                        List.of(workers)));
    }

    private static WorkerRecord worker(String id, String pool, String target, WorkerState state) {
        return new WorkerRecord(new WorkerId(id), new PoolId(pool), new PoolId(target), state);
    }
}
