package org.crocusgrade.daemon;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.crocusgrade.core.misc.Addresses;
import org.crocusgrade.standin.worker.Receipt;
import org.junit.jupiter.api.Test;

/**
 * Tests a request end to end: configuration is published and watched, racks are owned, a slot is
 * leased, and the request runs on a worker and is answered.
 */
class EndToEndRequestTest {
    private static final Path SAMPLES = Path.of("../samples/laineflux");
    private static final Duration READY_WITHIN = Duration.ofSeconds(20);

    private final HttpClient client = HttpClient.newHttpClient();

    @Test
    void aRequestRunsOnceOnAWorkerOfItsPool() throws Exception {
        try (TestFleet fleet = new TestFleet(8)) {
            for (int i = 0; i < 3; i++) {
                fleet.startDaemon();
            }
            fleet.publish(SAMPLES);
            for (Daemon daemon : fleet.daemons) {
                awaitServed(daemon);
            }
            HttpResponse<String> answer = get(fleet.daemons.get(1).callers(), "one");
            assertThat(outcome(answer), is("completed"));
            List<Receipt> receipts =
                    fleet.workers.stream()
                            .flatMap(worker -> worker.receipts().stream())
                            .filter(receipt -> receipt.nonce().equals("one"))
                            .toList();
            assertThat(receipts.size(), is(1));
            assertThat(receipts.get(0).pool(), is("lot-valuation"));
        }
    }

    private void awaitServed(Daemon daemon) throws Exception {
        long end = System.nanoTime() + READY_WITHIN.toNanos();
        String last = "none";
        while (System.nanoTime() < end) {
            HttpResponse<String> answer = get(daemon.callers(), "warm-up");
            last = outcome(answer) + " " + answer.headers().map();
            if (outcome(answer).equals("completed")) {
                return;
            }
            Thread.sleep(50);
        }
        throw new AssertionError("not completed before the deadline, last outcome: " + last);
    }

    private HttpResponse<String> get(InetSocketAddress target, String nonce) throws Exception {
        URI uri = URI.create("http://" + Addresses.format(target) + "/s/lot-valuation/price?lot=7");
        HttpRequest request =
                HttpRequest.newBuilder(uri)
                        .timeout(Duration.ofSeconds(10))
                        .header("Crocusgrade-Standin-Work", "5ms")
                        .header("Crocusgrade-Standin-Nonce", nonce)
                        .build();
        return client.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private static String outcome(HttpResponse<String> answer) {
        return answer.headers().firstValue("Crocusgrade-Outcome").orElse("none");
    }
}
