package org.crocusgrade.bench.overhead;

import io.vertx.core.Vertx;
import io.vertx.core.VertxOptions;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.LongAdder;
import org.HdrHistogram.ConcurrentHistogram;
import org.HdrHistogram.Histogram;

/** Sends requests to one address, as a closed loop or as an open loop at a fixed rate. */
final class LoadGenerator implements AutoCloseable {
    private static final int THREADS = 2;
    private static final int OK = 200;
    private static final int MAX_CONNECTIONS = 256;
    private static final Buffer BODY = Buffer.buffer("{\"lot\":7,\"grade\":\"fine\"}");

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(THREADS));
    private final HttpClient client =
            vertx.createHttpClient(
                    new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(MAX_CONNECTIONS));

    /**
     * The results of a round.
     *
     * @param latencies the latencies of succeeded requests, in nanoseconds
     * @param succeeded how many requests were answered with status 200
     * @param failed how many other requests there were
     * @param length how long the round took, until the last answer
     */
    record Round(Histogram latencies, long succeeded, long failed, Duration length) {
        double perSecond() {
            return succeeded / (length.toNanos() / 1e9);
        }
    }

    /** Keeps a number of requests in flight for a time: each answer triggers the next request. */
    Round closedLoop(InetSocketAddress target, int inFlight, Duration length)
            throws InterruptedException {
        RoundRecorder recorder = new RoundRecorder();
        long start = System.nanoTime();
        long end = start + length.toNanos();
        for (int i = 0; i < inFlight; i++) {
            sendNext(target, end, recorder);
        }
        return recorder.await(start, end);
    }

    private void sendNext(InetSocketAddress target, long end, RoundRecorder recorder) {
        long nowNanos = System.nanoTime();
        if (nowNanos - end < 0) {
            send(target, nowNanos, recorder, () -> sendNext(target, end, recorder));
        }
    }

    /**
     * Sends at a fixed rate for a time. Latency counts from when a request was due, so that the
     * delay of a request that was sent late is included.
     */
    Round openLoop(InetSocketAddress target, double perSecond, Duration length)
            throws InterruptedException {
        RoundRecorder recorder = new RoundRecorder();
        long start = System.nanoTime();
        long end = start + length.toNanos();
        double intervalNanos = 1e9 / perSecond;
        long sent = 0;
        while (System.nanoTime() - end < 0) {
            long nowNanos = System.nanoTime();
            for (; start + sent * intervalNanos <= nowNanos; sent++) {
                long intendedNanos = start + (long) (sent * intervalNanos);
                send(target, intendedNanos, recorder, () -> {});
            }
            Thread.sleep(0, 200_000);
        }
        return recorder.await(start, end);
    }

    private void send(
            InetSocketAddress target,
            long startNanos,
            RoundRecorder recorder,
            Runnable afterAnswer) {
        recorder.inFlight.incrementAndGet();
        RequestOptions options =
                new RequestOptions()
                        .setHost(target.getAddress().getHostAddress())
                        .setPort(target.getPort())
                        .setMethod(HttpMethod.POST)
                        .setURI("/s/lot-valuation/price");
        client.request(options)
                .compose(request -> request.send(BODY))
                .compose(response -> response.body().map(body -> response.statusCode()))
                .onComplete(
                        result -> {
                            recorder.recordAnswer(
                                    result.succeeded() && result.result() == OK, startNanos);
                            afterAnswer.run();
                        });
    }

    @Override
    public void close() {
        client.close();
        vertx.close();
    }

    private static final class RoundRecorder {
        private final ConcurrentHistogram latencies = new ConcurrentHistogram(3);
        private final LongAdder succeeded = new LongAdder();
        private final LongAdder failed = new LongAdder();
        private final AtomicInteger inFlight = new AtomicInteger();

        private void recordAnswer(boolean success, long startNanos) {
            if (success) {
                succeeded.increment();
                latencies.recordValue(Math.max(1, System.nanoTime() - startNanos));
            } else {
                failed.increment();
            }
            inFlight.decrementAndGet();
        }

        private Round await(long start, long end) throws InterruptedException {
            while (System.nanoTime() - end < 0 || inFlight.get() > 0) {
                Thread.sleep(1);
            }
            Duration length = Duration.ofNanos(System.nanoTime() - start);
            return new Round(latencies, succeeded.sum(), failed.sum(), length);
        }
    }
}
