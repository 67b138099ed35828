package org.crocusgrade.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.crocusgrade.core.misc.Addresses;
import org.crocusgrade.standin.WorkerServer;
import org.crocusgrade.standin.worker.WorkerFaults;
import org.junit.jupiter.api.Test;

/**
 * Tests that a worker that fails all requests receives few of them, and receives work again once it
 * has recovered.
 */
class FailingWorkerTest {
    private static final Path SAMPLES = Path.of("../samples/laineflux");
    private static final Duration READY_WITHIN = Duration.ofSeconds(20);
    private static final int WAIT_SECONDS = 15;
    private static final int BATCH_SIZE = 8;
    private static final WorkerFaults FAIL_ALL = new WorkerFaults(true, false, false, false, 1);

    private final HttpClient client = HttpClient.newHttpClient();

    @Test
    void failingWorkerGetsLittleWorkUntilItRecovers() throws Exception {
        try (TestFleet fleet = new TestFleet(20)) {
            fleet.startDaemon();
            fleet.publish(SAMPLES);
            WorkerServer failing = awaitWorker(fleet);
            failing.setFaults(FAIL_ALL);
            long end = System.nanoTime() + READY_WITHIN.toNanos();
            while (failures(sendBatch(fleet)) > 0 && System.nanoTime() < end) {
                Thread.sleep(10);
            }
            int before = failing.receipts().size();
            int sent = 0;
            for (int i = 0; i < 20; i++) {
                sent += sendBatch(fleet).size();
            }
            int after = failing.receipts().size();
            assertThat(after - before, lessThan(sent / 10));
            failing.setFaults(WorkerFaults.NONE);
            awaitMore(fleet, failing, after);
        }
    }

    private void awaitMore(TestFleet fleet, WorkerServer worker, int than) throws Exception {
        long end = System.nanoTime() + READY_WITHIN.toNanos();
        while (worker.receipts().size() < than + BATCH_SIZE) {
            assertThat(
                    "worker receives requests again before the deadline",
                    System.nanoTime() < end,
                    is(true));
            sendBatch(fleet);
        }
        assertThat(worker.receipts().size(), greaterThan(than));
    }

    private WorkerServer awaitWorker(TestFleet fleet) throws Exception {
        long end = System.nanoTime() + READY_WITHIN.toNanos();
        while (System.nanoTime() < end) {
            sendBatch(fleet);
            for (WorkerServer worker : fleet.workers) {
                if (!worker.receipts().isEmpty()) {
                    return worker;
                }
            }
        }
        throw new AssertionError("no worker received a request before the deadline");
    }

    private static int failures(List<HttpResponse<String>> answers) {
        int failures = 0;
        for (HttpResponse<String> answer : answers) {
            failures += answer.statusCode() == 200 ? 0 : 1;
        }
        return failures;
    }

    private List<HttpResponse<String>> sendBatch(TestFleet fleet) throws Exception {
        String daemon = Addresses.format(fleet.daemons.get(0).callers());
        List<CompletableFuture<HttpResponse<String>>> sent = new ArrayList<>();
        for (int i = 0; i < BATCH_SIZE; i++) {
            HttpRequest request =
                    HttpRequest.newBuilder(
                                    URI.create("http://" + daemon + "/s/mill-sales/contract"))
                            .header("Idempotency-Key", "k" + System.nanoTime() + "-" + i)
                            .header("Crocusgrade-Standin-Work", "5ms")
                            .POST(HttpRequest.BodyPublishers.ofString("terms"))
                            .build();
            sent.add(client.sendAsync(request, HttpResponse.BodyHandlers.ofString()));
        }
        List<HttpResponse<String>> answers = new ArrayList<>();
        for (CompletableFuture<HttpResponse<String>> each : sent) {
            answers.add(each.get(WAIT_SECONDS, TimeUnit.SECONDS));
        }
        return answers;
    }
}
