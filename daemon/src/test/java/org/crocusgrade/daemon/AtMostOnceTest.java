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
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.crocusgrade.core.misc.Addresses;
import org.crocusgrade.standin.platform.PlatformFaults;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

/**
 * Tests that a request with an idempotency key runs at most once, whichever daemons receive it, and
 * also when its daemon stops or the store is down.
 */
class AtMostOnceTest {
    private static final Path SAMPLES = Path.of("../samples/laineflux");
    private static final Duration READY_WITHIN = Duration.ofSeconds(20);
    private static final int WAIT_SECONDS = 15;
    private static final String COMPLETED = "completed ok";

    private final HttpClient client = HttpClient.newHttpClient();
    private TestFleet fleet;

    @BeforeEach
    void start() throws Exception {
        fleet = new TestFleet(8);
        for (int i = 0; i < 3; i++) {
            fleet.startDaemon();
        }
        fleet.publish(SAMPLES);
        for (int i = 0; i < 3; i++) {
            awaitServed(i);
        }
    }

    @AfterEach
    void stop() {
        fleet.close();
    }

    @Test
    void concurrentRequestsWithOneKeyThroughAllDaemonsRunOnce() throws Exception {
        List<CompletableFuture<HttpResponse<String>>> answers = new ArrayList<>();
        for (int i = 0; i < 9; i++) {
            answers.add(send(i % 3, "shared", "300ms", "terms"));
        }
        for (CompletableFuture<HttpResponse<String>> answer : answers) {
            assertThat(outcomeAndReason(answer.get(WAIT_SECONDS, TimeUnit.SECONDS)), is(COMPLETED));
        }
        assertThat(runs("shared"), is(1L));
    }

    @Test
    void repeatedKeyReturnsTheFirstAnswer() throws Exception {
        HttpResponse<String> first = send(0, "again", "5ms", "terms").get();
        HttpResponse<String> second = send(1, "again", "5ms", "terms").get();
        assertThat(outcomeAndReason(second), is(COMPLETED));
        assertThat(second.body(), is(first.body()));
        assertThat(runs("again"), is(1L));
    }

    @Test
    void keyReusedForAnotherRequestIsRefused() throws Exception {
        send(0, "reused", "5ms", "terms").get();
        assertThat(
                outcomeAndReason(send(1, "reused", "5ms", "other terms").get()),
                is("not-run key-reused"));
        assertThat(runs("reused"), is(1L));
    }

    @Test
    void keyWhoseHolderStoppedIsUnknownAndNotRunAgain() throws Exception {
        CompletableFuture<HttpResponse<String>> lost = send(0, "killed", "400ms", "terms");
        awaitRuns("killed", 1);
        fleet.daemons.get(0).close();
        lost.handle((answer, failure) -> null).get(WAIT_SECONDS, TimeUnit.SECONDS);
        String result =
                outcomeAndReason(
                        send(1, "killed", "5ms", "terms").get(WAIT_SECONDS, TimeUnit.SECONDS));
        assertThat(result.split(" ")[0], is("unknown"));
        assertThat(runs("killed"), is(1L));
    }

    @Test
    void withStoreDownRequestWithKeyIsUnknownAndNotRun() throws Exception {
        fleet.platform.setFaults(new PlatformFaults(true, false, Duration.ZERO, 0));
        HttpResponse<String> answer = send(0, "down", "5ms", "terms").get();
        assertThat(outcomeAndReason(answer), is("unknown claim-unavailable"));
        assertThat(answer.headers().firstValue("Retry-After").isPresent(), is(true));
        assertThat(runs("down"), is(0L));
        fleet.platform.setFaults(new PlatformFaults(false, false, Duration.ZERO, 0));
        awaitCompleted(1, "down");
        assertThat(runs("down"), is(1L));
    }

    private void awaitCompleted(int daemon, String key) throws Exception {
        long end = System.nanoTime() + READY_WITHIN.toNanos();
        String last = "";
        while (System.nanoTime() < end) {
            last =
                    outcomeAndReason(
                            send(daemon, key, "5ms", "terms").get(WAIT_SECONDS, TimeUnit.SECONDS));
            if (last.equals(COMPLETED)) {
                return;
            }
            Thread.sleep(100);
        }
        throw new AssertionError("not completed before the deadline, last outcome: " + last);
    }

    private void awaitServed(int daemon) throws Exception {
        awaitCompleted(daemon, "warm-up-" + daemon);
    }

    private void awaitRuns(String key, long count) throws InterruptedException {
        long end = System.nanoTime() + READY_WITHIN.toNanos();
        while (runs(key) < count) {
            assertThat("request runs before the deadline", System.nanoTime() < end, is(true));
            Thread.sleep(5);
        }
    }

    private long runs(String key) {
        return fleet.workers.stream()
                .flatMap(worker -> worker.receipts().stream())
                .filter(receipt -> receipt.key().equals(key))
                .count();
    }

    private CompletableFuture<HttpResponse<String>> send(
            int daemon, String key, String work, String body) {
        InetSocketAddress target = fleet.daemons.get(daemon).callers();
        URI uri = URI.create("http://" + Addresses.format(target) + "/s/mill-sales/contract");
        HttpRequest request =
                HttpRequest.newBuilder(uri)
                        .timeout(Duration.ofSeconds(WAIT_SECONDS))
                        .header("Idempotency-Key", key)
                        .header("Crocusgrade-Standin-Work", work)
                        .header("Crocusgrade-Standin-Nonce", key)
                        .POST(HttpRequest.BodyPublishers.ofString(body))
                        .build();
        return client.sendAsync(request, HttpResponse.BodyHandlers.ofString());
    }

    private static String outcomeAndReason(HttpResponse<String> answer) {
        return answer.headers().firstValue("Crocusgrade-Outcome").orElse("none")
                + " "
                + answer.headers().firstValue("Crocusgrade-Reason").orElse("none");
    }
}
