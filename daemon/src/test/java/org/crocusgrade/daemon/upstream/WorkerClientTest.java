package org.crocusgrade.daemon.upstream;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import io.vertx.core.MultiMap;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.time.Duration;
import java.util.concurrent.TimeUnit;
import org.crocusgrade.core.dispatch.RunEnd;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.RequestId;
import org.crocusgrade.core.id.ServiceId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** How attempts are classified when a worker answers wrongly, over real sockets. */
class WorkerClientTest {
    private static final Duration LONG_TIMEOUT = Duration.ofSeconds(10);
    private static final Duration SHORT_TIMEOUT = Duration.ofMillis(300);

    private Vertx vertx;
    private WorkerClient client;
    private FaultyWorker worker;
    private int attempts;

    @BeforeEach
    void start() throws IOException {
        vertx = Vertx.vertx();
        client = new WorkerClient(vertx);
        worker = new FaultyWorker();
    }

    @AfterEach
    void stop() throws Exception {
        client.close();
        worker.close();
        vertx.close().toCompletionStage().toCompletableFuture().get(10, TimeUnit.SECONDS);
    }

    private RunResult run(InetSocketAddress to, HttpMethod method, String path, Duration timeout)
            throws Exception {
        RunCall call =
                new RunCall(
                        new RequestId("r" + ++attempts),
                        to,
                        new ServiceId("service"),
                        new PoolId("pool"),
                        method,
                        "/" + path,
                        MultiMap.caseInsensitiveMultiMap(),
                        Buffer.buffer("a body"),
                        timeout,
                        () -> true);
        return client.run(call)
                .toCompletionStage()
                .toCompletableFuture()
                .get(LONG_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
    }

    private RunEnd end(String path, Duration timeout) throws Exception {
        return run(worker.address(), HttpMethod.POST, path, timeout).end();
    }

    @ParameterizedTest
    @CsvSource({
        "good, ANSWERED",
        "no-content, ANSWERED",
        "fail, ANSWERED_FAILURE",
        "refuse, REFUSED_SLOTS",
        "untrue-refusal, ANSWERED",
        "reset, CONNECTION_LOST",
        "close, CONNECTION_LOST",
        "reset-in-body, ANSWER_CUT",
        "short, ANSWER_CUT",
        "other-id, ANSWER_MISMATCH",
        "no-id, ANSWER_MISMATCH",
        "no-length, ANSWER_MISMATCH",
    })
    void answerDeterminesHowAttemptEnds(String path, RunEnd end) throws Exception {
        assertThat(end(path, LONG_TIMEOUT), is(end));
        assertThat(end("good", LONG_TIMEOUT), is(RunEnd.ANSWERED));
    }

    @ParameterizedTest
    @ValueSource(strings = {"stall", "silent", "trickle"})
    void attemptEndsAtItsTimeLimit(String path) throws Exception {
        long start = System.nanoTime();
        assertThat(end(path, SHORT_TIMEOUT), is(RunEnd.TIMED_OUT));
        long elapsedNanos = System.nanoTime() - start;
        assertThat(elapsedNanos, is(lessThan(LONG_TIMEOUT.toNanos() / 2)));
        assertThat(end("good", LONG_TIMEOUT), is(RunEnd.ANSWERED));
    }

    @Test
    void answerToHeadHasLengthAndNoBody() throws Exception {
        RunResult result = run(worker.address(), HttpMethod.HEAD, "good", LONG_TIMEOUT);
        assertThat(result.end(), is(RunEnd.ANSWERED));
    }

    @ParameterizedTest
    @ValueSource(strings = {"twice", "late-twice"})
    void surplusAnswerIsNotTakenForTheNextAttempts(String path) throws Exception {
        for (int i = 0; i < 20; i++) {
            RunResult first = run(worker.address(), HttpMethod.POST, path, LONG_TIMEOUT);
            first.answer()
                    .ifPresent(answer -> assertThat(answer.body().toString(), is("0123456789")));
            Thread.sleep(i % 5 * 10);
            RunResult next = run(worker.address(), HttpMethod.POST, "good", LONG_TIMEOUT);
            assertThat(next.end(), is(not(RunEnd.ANSWERED_FAILURE)));
            next.answer()
                    .ifPresent(
                            answer -> {
                                assertThat(answer.body().toString(), is("0123456789"));
                                String id = answer.headers().get(WorkerClient.REQUEST);
                                assertThat(id, is("r" + attempts));
                            });
        }
        awaitAnswered();
    }

    /**
     * Sends attempts until one is answered. A connection on which surplus bytes arrived is detected
     * as broken by an attempt that uses it, and that attempt fails.
     */
    private void awaitAnswered() throws Exception {
        long end = System.nanoTime() + LONG_TIMEOUT.toNanos();
        while (end("good", LONG_TIMEOUT) != RunEnd.ANSWERED) {
            assertThat(System.nanoTime() - end, is(lessThan(0L)));
        }
    }

    @Test
    void refusedConnectionMeansNotSent() throws Exception {
        InetSocketAddress closed;
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            closed = new InetSocketAddress(socket.getInetAddress(), socket.getLocalPort());
        }
        assertThat(run(closed, HttpMethod.POST, "good", LONG_TIMEOUT).end(), is(RunEnd.NOT_SENT));
    }

    @Test
    void timeLimitWhileWaitingForConnectionMeansNotSent() throws Exception {
        for (int i = 0; i < WorkerClient.CONNECTIONS_PER_WORKER; i++) {
            client.run(
                    new RunCall(
                            new RequestId("busy" + i),
                            worker.address(),
                            new ServiceId("service"),
                            new PoolId("pool"),
                            HttpMethod.POST,
                            "/silent",
                            MultiMap.caseInsensitiveMultiMap(),
                            Buffer.buffer(),
                            LONG_TIMEOUT,
                            () -> true));
        }
        assertThat(end("good", SHORT_TIMEOUT), is(RunEnd.NOT_SENT));
        assertThat(worker.requests(), not(hasItem("POST /run/good")));
    }

    @Test
    void attemptWhoseLeaseEndedBeforeItGotAConnectionIsNotSent() throws Exception {
        RunCall late =
                new RunCall(
                        new RequestId("late"),
                        worker.address(),
                        new ServiceId("service"),
                        new PoolId("pool"),
                        HttpMethod.POST,
                        "/good",
                        MultiMap.caseInsensitiveMultiMap(),
                        Buffer.buffer("a body"),
                        LONG_TIMEOUT,
                        () -> false);
        RunResult result =
                client.run(late)
                        .toCompletionStage()
                        .toCompletableFuture()
                        .get(LONG_TIMEOUT.toMillis(), TimeUnit.MILLISECONDS);
        assertThat(result.end(), is(RunEnd.LEASE_LOST));
        assertThat(end("good", LONG_TIMEOUT), is(RunEnd.ANSWERED));
        assertThat(worker.requests().size(), is(1));
    }

    @Test
    void cancelReachesWorkerWhoseConnectionsAreAllBusy() throws Exception {
        timeLimitWhileWaitingForConnectionMeansNotSent();
        client.cancel(worker.address(), new RequestId("busy0"));
        long end = System.nanoTime() + LONG_TIMEOUT.toNanos();
        while (!worker.requests().contains("DELETE /control/run/busy0")) {
            assertThat(System.nanoTime() - end, is(lessThan(0L)));
            Thread.sleep(10);
        }
    }
}
