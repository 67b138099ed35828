package org.crocusgrade.standin;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import io.smallrye.mutiny.Uni;
import io.vertx.mutiny.core.Vertx;
import io.vertx.mutiny.core.buffer.Buffer;
import io.vertx.mutiny.ext.web.client.HttpResponse;
import io.vertx.mutiny.ext.web.client.WebClient;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.standin.worker.AnswerBody;
import org.crocusgrade.standin.worker.Receipt;
import org.crocusgrade.standin.worker.Receipt.Ending;
import org.crocusgrade.standin.worker.WorkerFaults;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

class WorkerServerTest {
    private static final Duration WAIT = Duration.ofSeconds(10);
    private static final int SLOTS = 2;
    private static final int BYTES = 300;

    private final Vertx vertx = Vertx.vertx();
    private final WebClient client = WebClient.create(vertx);
    private final WorkerServer server =
            new WorkerServer(new WorkerId("w-1"), Clock.system(), SLOTS, 64);
    private InetSocketAddress address;

    @BeforeEach
    void start() {
        address = server.start(vertx, "127.0.0.1", 0).await().atMost(WAIT);
    }

    @AfterEach
    void stop() {
        server.stop().await().atMost(WAIT);
        vertx.close().await().atMost(WAIT);
    }

    @Test
    void answersWithTheBodyOfTheNonceAndKeepsAReceipt() {
        HttpResponse<Buffer> response = send("r-1", "n-1", "5ms").await().atMost(WAIT);
        assertThat(response.getHeader("Crocusgrade-Request"), is("r-1"));
        assertThat(AnswerBody.matches(response.body().getBytes(), "n-1", BYTES), is(true));
        assertThat(AnswerBody.matches(response.body().getBytes(), "n-2", BYTES), is(false));
        assertThat(endings(), is(List.of(Ending.COMPLETED)));
        assertThat(server.receipts().get(0).pool(), is("accounts"));
    }

    @Test
    void refusesBeyondItsSlotsWithoutStarting() {
        List<Uni<HttpResponse<Buffer>>> running = new ArrayList<>();
        for (int i = 0; i < SLOTS; i++) {
            running.add(send("r-" + i, "n-" + i, "60s").memoize().indefinitely());
        }
        running.forEach(uni -> uni.subscribe().with(r -> {}, e -> {}));
        awaitRunning(SLOTS);
        HttpResponse<Buffer> refused = send("r-9", "n-9", "1ms").await().atMost(WAIT);
        assertThat(refused.statusCode(), is(503));
        assertThat(refused.getHeader("Crocusgrade-Refused"), is("slots"));
        client.delete(address.getPort(), "127.0.0.1", "/control/run/r-0")
                .send()
                .await()
                .atMost(WAIT);
        assertThat(server.running(), is(SLOTS - 1));
        assertThat(endings().get(0), is(Ending.REFUSED_SLOTS));
        assertThat(endings().get(1), is(Ending.CANCELLED));
    }

    @Test
    void leavingWorkerRefuses() {
        server.setLeaving(true);
        HttpResponse<Buffer> refused = send("r-1", "n-1", "1ms").await().atMost(WAIT);
        assertThat(refused.getHeader("Crocusgrade-Refused"), is("leaving"));
        assertThat(endings(), is(List.of(Ending.REFUSED_LEAVING)));
    }

    @Test
    void injectedFaultsAlterTheAnswer() {
        server.setFaults(new WorkerFaults(false, true, false, false, 1));
        HttpResponse<Buffer> other = send("r-1", "n-1", "1ms").await().atMost(WAIT);
        assertThat(other.getHeader("Crocusgrade-Request"), is("other-r-1"));
        server.setFaults(new WorkerFaults(true, false, false, false, 1));
        assertThat(send("r-2", "n-2", "1ms").await().atMost(WAIT).statusCode(), is(500));
        server.setFaults(new WorkerFaults(false, false, true, false, 1));
        assertThrows(Exception.class, () -> send("r-3", "n-3", "1ms").await().atMost(WAIT));
        assertThat(endings(), is(List.of(Ending.FAULTED, Ending.FAULTED, Ending.FAULTED)));
    }

    @Test
    void goingDownAbortsRunningRequests() {
        Uni<HttpResponse<Buffer>> sent = send("r-1", "n-1", "60s").memoize().indefinitely();
        sent.subscribe().with(r -> {}, e -> {});
        awaitRunning(1);
        server.setDown(true);
        assertThrows(Exception.class, () -> sent.await().atMost(WAIT));
        assertThat(endings(), is(List.of(Ending.CUT)));
    }

    private List<Ending> endings() {
        return server.receipts().stream().map(Receipt::ending).toList();
    }

    private void awaitRunning(int count) {
        long end = System.nanoTime() + WAIT.toNanos();
        while (server.running() < count && System.nanoTime() < end) {
            Thread.onSpinWait();
        }
        assertThat(server.running(), is(count));
    }

    private Uni<HttpResponse<Buffer>> send(String request, String nonce, String work) {
        return client.post(address.getPort(), "127.0.0.1", "/run/lot/7")
                .putHeader("Crocusgrade-Request", request)
                .putHeader("Crocusgrade-Service", "accounts")
                .putHeader("Crocusgrade-Pool", "accounts")
                .putHeader(WorkerServer.NONCE, nonce)
                .putHeader(WorkerServer.WORK, work)
                .putHeader(WorkerServer.ANSWER_BYTES, Integer.toString(BYTES))
                .send();
    }
}
