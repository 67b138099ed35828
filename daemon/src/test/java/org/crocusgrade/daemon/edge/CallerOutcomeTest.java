package org.crocusgrade.daemon.edge;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import org.crocusgrade.core.misc.Addresses;
import org.crocusgrade.daemon.Daemon;
import org.crocusgrade.daemon.TestFleet;
import org.crocusgrade.daemon.upstream.FaultyWorker;
import org.junit.jupiter.api.AfterAll;
import org.junit.jupiter.api.BeforeAll;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * The outcome, reason and status that a caller receives when workers answer wrongly. Runs a
 * complete daemon over real sockets. Guards against a request that is not idempotent being sent
 * twice, a broken answer being delivered as complete, and an answer reaching another caller's
 * request.
 */
class CallerOutcomeTest {
    private static final Path SAMPLES = Path.of("../samples/laineflux");
    private static final Duration TIMEOUT = Duration.ofSeconds(20);
    private static final int WORKERS = 8;
    private static final String BODY = "0123456789";

    private static final HttpClient CLIENT = HttpClient.newHttpClient();
    private static FaultyWorker worker;
    private static TestFleet fleet;
    private static Daemon daemon;

    @BeforeAll
    static void start() throws Exception {
        worker = new FaultyWorker();
        fleet = new TestFleet(WORKERS, worker.address());
        daemon = fleet.startDaemon();
        fleet.publish(SAMPLES);
        await(() -> header(send("GET", "good"), "Outcome").equals("completed"));
    }

    @AfterAll
    static void stop() throws IOException {
        fleet.close();
        worker.close();
    }

    @ParameterizedTest
    @CsvSource({
        "good, completed, ok, 200",
        "fail, completed, ok, 500",
        "other-id, unknown, answer-mismatch, 502",
        "no-id, unknown, answer-mismatch, 502",
        "no-length, unknown, answer-mismatch, 502",
        "short, unknown, answer-cut, 502",
        "reset-in-body, unknown, answer-cut, 502",
        "reset, unknown, connection-lost, 502",
        "close, unknown, connection-lost, 502",
        "stall, unknown, run-timeout, 504",
        "trickle, unknown, run-timeout, 504",
    })
    void nonIdempotentRequestIsSentOnceAndItsOutcomeIsReported(
            String path, String outcome, String reason, int status) throws Exception {
        long before = receivedCount("POST /run/" + path);
        HttpResponse<String> answer = send("POST", path);
        assertThat(header(answer, "Outcome"), is(outcome));
        assertThat(header(answer, "Reason"), is(reason));
        assertThat(answer.statusCode(), is(status));
        boolean completed = outcome.equals("completed");
        assertThat(answer.body(), completed ? is(BODY) : not(containsString("01234")));
        assertThat(receivedCount("POST /run/" + path), is(before + 1));
        assertThat(header(send("POST", "good"), "Outcome"), is("completed"));
    }

    @ParameterizedTest
    @ValueSource(strings = {"twice", "late-twice"})
    void surplusAnswerIsNotDeliveredToAnotherRequest(String path) throws Exception {
        for (int i = 0; i < 10; i++) {
            for (String each : List.of(path, "good")) {
                HttpResponse<String> answer = send("POST", each);
                boolean completed = header(answer, "Outcome").equals("completed");
                assertThat(answer.body(), completed ? is(BODY) : not(containsString("stale")));
            }
        }
        await(() -> header(send("POST", "good"), "Outcome").equals("completed"));
    }

    @Test
    void idempotentRequestIsRetried() throws Exception {
        for (int i = 0; i < 15; i++) {
            send("GET", "good");
        }
        HttpResponse<String> answer = send("GET", "reset");
        assertThat(header(answer, "Outcome"), is("unknown"));
        assertThat(receivedCount("GET /run/reset"), is(greaterThan(1L)));
        assertThat(metrics(), containsString("crocusgrade_retries"));
    }

    @Test
    void requestRefusedByWorkersIsNotRunAndMayBeRetried() throws Exception {
        HttpResponse<String> answer = send("POST", "refuse");
        assertThat(header(answer, "Outcome"), is("not-run"));
        assertThat(header(answer, "Reason"), is("workers-refused"));
        assertThat(answer.headers().firstValue("Retry-After").isPresent(), is(true));
    }

    @Test
    void runOfDisconnectedCallerIsCancelledAtTheWorker() throws Exception {
        InetSocketAddress target = daemon.callers();
        long before = receivedCount("DELETE /control/run/");
        try (Socket caller = new Socket(target.getAddress(), target.getPort())) {
            String head =
                    "POST /s/lot-valuation/silent HTTP/1.1\r\nHost: any\r\n"
                            + "Crocusgrade-Timeout-Ms: 60000\r\nContent-Length: 0\r\n\r\n";
            caller.getOutputStream().write(head.getBytes(StandardCharsets.US_ASCII));
            await(() -> receivedCount("POST /run/silent") == 1);
        }
        await(() -> receivedCount("DELETE /control/run/") > before);
        await(() -> metrics().contains("cancelled-running"));
    }

    private static long receivedCount(String prefix) {
        return worker.requests().stream().filter(line -> line.startsWith(prefix)).count();
    }

    private static String metrics() throws Exception {
        URI uri = URI.create("http://" + Addresses.format(daemon.operators()) + "/metrics");
        HttpRequest request = HttpRequest.newBuilder(uri).build();
        return CLIENT.send(request, HttpResponse.BodyHandlers.ofString()).body();
    }

    private static HttpResponse<String> send(String method, String path) throws Exception {
        String target = Addresses.format(daemon.callers());
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + target + "/s/lot-valuation/" + path))
                        .timeout(TIMEOUT)
                        .header("Crocusgrade-Timeout-Ms", "700")
                        .method(method, HttpRequest.BodyPublishers.ofString(""))
                        .build();
        return CLIENT.send(request, HttpResponse.BodyHandlers.ofString());
    }

    private static String header(HttpResponse<String> answer, String name) {
        return answer.headers().firstValue("Crocusgrade-" + name).orElse("none");
    }

    private interface Check {
        boolean holds() throws Exception;
    }

    private static void await(Check check) throws Exception {
        long end = System.nanoTime() + TIMEOUT.toNanos();
        while (!check.holds()) {
            assertThat("in time", System.nanoTime() - end, is(lessThan(0L)));
            Thread.sleep(20);
        }
    }
}
