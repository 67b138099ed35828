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

/** Callers on loopback: as many as possible at once, or at a fixed rate. */
final class LoadLoop implements AutoCloseable {
    private static final int THREADS = 2;
    private static final int OK = 200;
    private static final int MOST_CONNECTIONS = 256;
    private static final Buffer BODY = Buffer.buffer("{\"lot\":7,\"grade\":\"fine\"}");

    private final Vertx vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(THREADS));
    private final HttpClient client =
            vertx.createHttpClient(
                    new HttpClientOptions(), new PoolOptions().setHttp1MaxSize(MOST_CONNECTIONS));

    /**
     * What a round gave.
     *
     * @param latencies of good answers, in nanoseconds
     * @param good answers with status 200
     * @param bad all others
     * @param length how long the round took
     */
    record Round(Histogram latencies, long good, long bad, Duration length) {
        double perSecond() {
            return good / (length.toNanos() / 1e9);
        }
    }

    /** Keeps this many requests open for a time. */
    Round closed(InetSocketAddress target, int open, Duration length) throws InterruptedException {
        Counts counts = new Counts();
        long start = System.nanoTime();
        long end = start + length.toNanos();
        for (int i = 0; i < open; i++) {
            again(target, end, counts);
        }
        return counts.await(start, end);
    }

    private void again(InetSocketAddress target, long end, Counts counts) {
        long now = System.nanoTime();
        if (now - end < 0) {
            send(target, now, counts, () -> again(target, end, counts));
        }
    }

    /**
     * Sends at a fixed rate for a time; a late answer counts from when it should have been sent.
     */
    Round paced(InetSocketAddress target, double perSecond, Duration length)
            throws InterruptedException {
        Counts counts = new Counts();
        long start = System.nanoTime();
        long end = start + length.toNanos();
        double gap = 1e9 / perSecond;
        long sent = 0;
        while (System.nanoTime() - end < 0) {
            long now = System.nanoTime();
            for (; start + sent * gap <= now; sent++) {
                long due = start + (long) (sent * gap);
                send(target, due, counts, () -> {});
            }
            Thread.sleep(0, 200_000);
        }
        return counts.await(start, end);
    }

    private void send(InetSocketAddress target, long from, Counts counts, Runnable then) {
        counts.open.incrementAndGet();
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
                            counts.done(result.succeeded() && result.result() == OK, from);
                            then.run();
                        });
    }

    @Override
    public void close() {
        client.close();
        vertx.close();
    }

    private static final class Counts {
        private final ConcurrentHistogram latencies = new ConcurrentHistogram(3);
        private final LongAdder good = new LongAdder();
        private final LongAdder bad = new LongAdder();
        private final AtomicInteger open = new AtomicInteger();

        private void done(boolean isGood, long from) {
            if (isGood) {
                good.increment();
                latencies.recordValue(Math.max(1, System.nanoTime() - from));
            } else {
                bad.increment();
            }
            open.decrementAndGet();
        }

        private Round await(long start, long end) throws InterruptedException {
            while (System.nanoTime() - end < 0 || open.get() > 0) {
                Thread.sleep(1);
            }
            Duration length = Duration.ofNanos(System.nanoTime() - start);
            return new Round(latencies, good.sum(), bad.sum(), length);
        }
    }
}
