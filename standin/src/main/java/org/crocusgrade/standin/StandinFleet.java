package org.crocusgrade.standin;

import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Vertx;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.UnknownHostException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.TreeMap;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.RackId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.HostEntry;
import org.crocusgrade.standin.worker.Receipt;

/** The stand-in workers of one region, in racks that take turns over the availability zones. */
public final class StandinFleet {
    /** Workers in a full rack. */
    public static final int WORKERS_PER_RACK = 4;

    /** Slots of a worker. */
    public static final int SLOTS = 8;

    /** Connections of a worker. */
    public static final int CONNECTIONS = 64;

    /** The first version of the workers' host image. */
    public static final String IMAGE = "image-1";

    /**
     * What a fleet is made of.
     *
     * @param zones its availability zones
     * @param workers how many workers it has
     * @param cores the processors of a worker
     * @param memoryBytes the memory of a worker, in bytes
     */
    public record Spec(List<AvailabilityZone> zones, int workers, int cores, long memoryBytes) {
        /** Checks the fields and copies the list. */
        public Spec {
            zones = List.copyOf(zones);
            if (zones.isEmpty() || workers <= 0) {
                throw new IllegalArgumentException("a fleet needs zones and workers");
            }
        }

        /** Returns the host entry of a worker that listens at an address. */
        public HostEntry host(int index, InetSocketAddress address) {
            int rack = index / WORKERS_PER_RACK;
            return new HostEntry(
                    worker(index),
                    address,
                    new RackId(String.format("rack-%03d", rack + 1)),
                    zones.get(rack % zones.size()),
                    HostEntry.State.LIVE,
                    cores,
                    memoryBytes,
                    0,
                    SLOTS,
                    CONNECTIONS,
                    IMAGE);
        }

        /** Returns the host entries of workers that listen at consecutive IP numbers. */
        public List<HostEntry> hostsAt(InetSocketAddress first) {
            List<HostEntry> hosts = new ArrayList<>();
            for (int i = 0; i < workers; i++) {
                hosts.add(host(i, addressAt(first, i)));
            }
            return hosts;
        }

        /** Returns the same fleet with another number of workers. */
        public Spec withWorkers(int count) {
            return new Spec(zones, count, cores, memoryBytes);
        }

        private static InetSocketAddress addressAt(InetSocketAddress first, int index) {
            int number = ByteBuffer.wrap(first.getAddress().getAddress()).getInt() + index;
            byte[] ip = ByteBuffer.allocate(Integer.BYTES).putInt(number).array();
            try {
                return new InetSocketAddress(InetAddress.getByAddress(ip), first.getPort());
            } catch (UnknownHostException e) {
                throw new IllegalStateException("an IPv4 number has 4 bytes", e);
            }
        }

        /** Returns the id of a worker. */
        public static WorkerId worker(int index) {
            return new WorkerId(String.format("worker-%04d", index + 1));
        }
    }

    private final Spec spec;
    private final Map<WorkerId, WorkerServer> workers = new TreeMap<>();

    /** Makes a fleet. */
    public StandinFleet(Spec spec, Clock clock) {
        this.spec = Objects.requireNonNull(spec);
        for (int i = 0; i < spec.workers(); i++) {
            WorkerId id = Spec.worker(i);
            workers.put(id, new WorkerServer(id, clock, SLOTS, CONNECTIONS));
        }
    }

    /** Starts all workers on free ports of an address; emits their host entries. */
    public Uni<List<HostEntry>> start(Vertx vertx, String host) {
        List<Uni<HostEntry>> starts = new ArrayList<>();
        int index = 0;
        for (WorkerServer worker : workers.values()) {
            int each = index++;
            starts.add(worker.start(vertx, host, 0).map(address -> spec.host(each, address)));
        }
        return Uni.join().all(starts).andFailFast();
    }

    /** Starts all workers at consecutive IP numbers; emits their host entries. */
    public Uni<List<HostEntry>> startAt(Vertx vertx, InetSocketAddress first) {
        List<Uni<HostEntry>> starts = new ArrayList<>();
        for (HostEntry host : spec.hostsAt(first)) {
            String ip = host.address().getAddress().getHostAddress();
            WorkerServer worker = workers.get(host.worker());
            starts.add(worker.start(vertx, ip, first.getPort()).replaceWith(host));
        }
        return Uni.join().all(starts).andFailFast();
    }

    /** Stops all workers. */
    public Uni<Void> stop() {
        List<Uni<Void>> stops = workers.values().stream().map(WorkerServer::stop).toList();
        return Uni.join().all(stops).andCollectFailures().replaceWithVoid();
    }

    /** Returns a worker. */
    public WorkerServer worker(WorkerId id) {
        return workers.get(id);
    }

    /** Returns the receipts of all workers. */
    public List<Receipt> receipts() {
        List<Receipt> all = new ArrayList<>();
        workers.values().forEach(worker -> all.addAll(worker.receipts()));
        return all;
    }
}
