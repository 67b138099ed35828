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

/**
 * The stand-in workers of one region. Consecutive workers share a rack, and racks are assigned to
 * the availability zones in rotation.
 */
public final class StandinFleet {
    /** Number of workers in a full rack. */
    public static final int WORKERS_PER_RACK = 4;

    /** Number of slots of each worker. */
    public static final int SLOTS = 8;

    /** Maximum number of connections of each worker. */
    public static final int CONNECTIONS = 64;

    /** The host image that all workers start with. */
    public static final String IMAGE = "image-1";

    /**
     * The composition of a fleet.
     *
     * @param zones the availability zones, at least one
     * @param workers the number of workers, at least 1
     * @param cores the number of processors of each worker
     * @param memoryBytes the memory of each worker, in bytes
     */
    public record Spec(List<AvailabilityZone> zones, int workers, int cores, long memoryBytes) {
        /** Checks the fields and copies the list. */
        public Spec {
            zones = List.copyOf(zones);
            if (zones.isEmpty() || workers <= 0) {
                throw new IllegalArgumentException(
                        "a fleet needs at least 1 availability zone and 1 worker");
            }
        }

        /** Returns the host entry of the worker with an index, listening at an address. */
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

        /**
         * Returns the host entries of workers that listen at consecutive IPv4 addresses, all on the
         * port of the first address.
         */
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
                throw new IllegalStateException("an IPv4 address of 4 bytes was not accepted", e);
            }
        }

        /** Returns the id of the worker with an index, which counts from 0. */
        public static WorkerId worker(int index) {
            return new WorkerId(String.format("worker-%04d", index + 1));
        }
    }

    private final Spec spec;
    private final Map<WorkerId, WorkerServer> workers = new TreeMap<>();

    /** Creates the workers without starting them. */
    public StandinFleet(Spec spec, Clock clock) {
        this.spec = Objects.requireNonNull(spec);
        for (int i = 0; i < spec.workers(); i++) {
            WorkerId id = Spec.worker(i);
            workers.put(id, new WorkerServer(id, clock, SLOTS, CONNECTIONS));
        }
    }

    /** Starts all workers on free ports of one address; emits their host entries. */
    public Uni<List<HostEntry>> start(Vertx vertx, String host) {
        List<Uni<HostEntry>> starts = new ArrayList<>();
        int index = 0;
        for (WorkerServer worker : workers.values()) {
            int workerIndex = index++;
            starts.add(
                    worker.start(vertx, host, 0).map(address -> spec.host(workerIndex, address)));
        }
        return Uni.join().all(starts).andFailFast();
    }

    /** Starts all workers at consecutive IPv4 addresses; emits their host entries. */
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

    /** Returns the worker with an id, or null if the fleet has none. */
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
