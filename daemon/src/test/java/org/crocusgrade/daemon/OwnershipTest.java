package org.crocusgrade.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import org.crocusgrade.core.fleet.RackCodec;
import org.crocusgrade.core.fleet.RackRecord;
import org.crocusgrade.core.fleet.WorkerRecord;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.misc.Addresses;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.daemon.platform.HttpKeyValueStore;
import org.crocusgrade.standin.WorkerServer;
import org.crocusgrade.standin.platform.PlatformFaults;
import org.crocusgrade.standin.worker.Receipt;
import org.junit.jupiter.api.Tag;
import org.junit.jupiter.api.Test;

/**
 * Tests rack ownership over real sockets: during an outage of the platform's service, and after a
 * daemon has stopped or crashed.
 */
class OwnershipTest {
    private static final Path SAMPLES = Path.of("../samples/laineflux");
    private static final PoolId POOL = new PoolId("lot-valuation");
    private static final Duration WITHIN = Duration.ofSeconds(25);

    /** Longer than a member lease with all its safety margins. */
    private static final Duration OUTAGE = Duration.ofSeconds(7);

    /** Number of concurrent requests; more than the slots of one rack. */
    private static final int BURST_SIZE = 40;

    /**
     * All services, because the planner may move the rack's workers to any of their pools
     * meanwhile.
     */
    private static final List<String> SERVICES =
            List.of(
                    "lot-valuation",
                    "fleece-classing",
                    "clip-accounts",
                    "mill-sales",
                    "broker-desk");

    private final HttpClient client = HttpClient.newHttpClient();
    private int sent;

    @Test
    void ownersGoOnWhileThePlatformsServiceIsDown() throws Exception {
        try (TestFleet fleet = new TestFleet(8)) {
            start(fleet, 3);
            fleet.platform.setFaults(new PlatformFaults(true, false, Duration.ZERO, 0));
            long end = System.nanoTime() + OUTAGE.toNanos();
            int completed = 0;
            int refused = 0;
            while (System.nanoTime() < end) {
                for (Daemon daemon : fleet.daemons) {
                    boolean ok = isCompleted(daemon, next());
                    completed += ok ? 1 : 0;
                    refused += ok ? 0 : 1;
                }
                Thread.sleep(50);
            }
            fleet.platform.setFaults(PlatformFaults.NONE);
            assertThat(refused + " refused of " + (completed + refused), refused, is(0));
        }
    }

    @Tag("known-red")
    @Test
    void racksOfAStoppedAndOfACrashedDaemonAreServedByTheLastOne() throws Exception {
        try (TestFleet fleet = new TestFleet(8)) {
            start(fleet, 3);
            RackRecord first = rackOfPool(fleet);
            Daemon stopped = fleet.daemons.remove(index(first));
            long begun = System.nanoTime();
            stopped.stop();
            await("hand-over", () -> isOwnedByOther(fleet, first));
            Duration handOver = Duration.ofNanos(System.nanoTime() - begun);
            assertThat(handOver, lessThan(Duration.ofSeconds(5)));
            awaitServedOn(fleet, first);

            RackRecord second = rackOfPool(fleet);
            Daemon crashed = daemon(fleet, second);
            fleet.daemons.remove(crashed);
            crashed.halt();
            await("take-over", () -> isOwnedByOther(fleet, second));
            awaitServedOn(fleet, second);
        }
    }

    private void start(TestFleet fleet, int daemons) throws Exception {
        for (int i = 0; i < daemons; i++) {
            fleet.startDaemon();
        }
        fleet.publish(SAMPLES);
        for (Daemon daemon : fleet.daemons) {
            await("service", () -> isCompleted(daemon, next()));
        }
    }

    private void awaitServedOn(TestFleet fleet, RackRecord rack) throws Exception {
        List<String> nonces = new ArrayList<>();
        await(
                "service by " + rack.rack(),
                () -> {
                    List<CompletableFuture<?>> answers = new ArrayList<>();
                    for (int i = 0; i < BURST_SIZE; i++) {
                        String nonce = next();
                        nonces.add(nonce);
                        String service = SERVICES.get(i % SERVICES.size());
                        HttpRequest request =
                                request(fleet.daemons.get(0), service, nonce, "100ms");
                        answers.add(client.sendAsync(request, BodyHandlers.ofString()));
                    }
                    CompletableFuture.allOf(answers.toArray(CompletableFuture[]::new)).get();
                    return ran(fleet, rack, nonces);
                });
        await("service of the pool", () -> isCompleted(fleet.daemons.get(0), next()));
    }

    private static boolean ran(TestFleet fleet, RackRecord rack, List<String> nonces) {
        for (WorkerServer worker : fleet.workers) {
            for (Receipt receipt : worker.receipts()) {
                boolean inRack =
                        rack.workers().stream()
                                .anyMatch(w -> w.worker().value().equals(receipt.worker()));
                if (inRack && nonces.contains(receipt.nonce())) {
                    return true;
                }
            }
        }
        return false;
    }

    private static RackRecord rackOfPool(TestFleet fleet) throws Exception {
        for (RackRecord rack : racks(fleet)) {
            if (rack.workers().stream().map(WorkerRecord::pool).anyMatch(POOL::equals)) {
                return rack;
            }
        }
        throw new AssertionError("no rack of the pool");
    }

    private static int index(RackRecord rack) {
        return rack.owner().orElseThrow().value().charAt(1) - '0';
    }

    private static Daemon daemon(TestFleet fleet, RackRecord rack) {
        String owner = rack.owner().orElseThrow().value();
        return fleet.daemons.stream()
                .filter(each -> each.id().value().equals(owner))
                .findFirst()
                .orElseThrow();
    }

    private static boolean isOwnedByOther(TestFleet fleet, RackRecord rack) throws Exception {
        for (RackRecord each : racks(fleet)) {
            Optional<DaemonId> owner = each.owner();
            if (each.rack().equals(rack.rack())) {
                return owner.isPresent() && !owner.equals(rack.owner());
            }
        }
        return false;
    }

    private static List<RackRecord> racks(TestFleet fleet) throws Exception {
        HttpKeyValueStore store = fleet.store();
        try {
            List<RackRecord> racks = new ArrayList<>();
            for (StoreEntry each : store.list("fleet/").await().atMost(WITHIN)) {
                racks.add(RackCodec.decode(each.value()));
            }
            return racks;
        } finally {
            store.close();
        }
    }

    private static void await(String what, Callable<Boolean> condition) throws Exception {
        long end = System.nanoTime() + WITHIN.toNanos();
        while (System.nanoTime() < end) {
            if (condition.call()) {
                return;
            }
            Thread.sleep(50);
        }
        throw new AssertionError("not in time: " + what);
    }

    private String next() {
        sent++;
        return "n" + sent;
    }

    private boolean isCompleted(Daemon daemon, String nonce) throws Exception {
        HttpResponse<String> answer =
                client.send(request(daemon, POOL.value(), nonce, "5ms"), BodyHandlers.ofString());
        return answer.headers().firstValue("Crocusgrade-Outcome").equals(Optional.of("completed"));
    }

    private static HttpRequest request(Daemon daemon, String service, String nonce, String work) {
        InetSocketAddress target = daemon.callers();
        URI uri =
                URI.create("http://" + Addresses.format(target) + "/s/" + service + "/price?lot=7");
        return HttpRequest.newBuilder(uri)
                .timeout(WITHIN)
                .header("Crocusgrade-Standin-Work", work)
                .header("Crocusgrade-Standin-Nonce", nonce)
                .build();
    }
}
