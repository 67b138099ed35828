package org.crocusgrade.daemon.log;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.ByteArrayOutputStream;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import org.junit.jupiter.api.Test;

/** Tests that the last log lines of a process are written, and do not hold up its exit. */
class LineHandlerTest {
    private static final Duration TIMEOUT = Duration.ofSeconds(10);

    /** Guards against a process that ends before its last lines were written. */
    @Test
    void finishWritesAllQueuedLines() {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        LineHandler handler = new LineHandler(out);
        for (int i = 0; i < 1000; i++) {
            handler.publish(new LogRecord(Level.INFO, "line " + i));
        }
        handler.finish(TIMEOUT);
        String[] lines = out.toString(StandardCharsets.UTF_8).split("\\R");
        assertThat(lines.length, is(1000));
        assertThat(lines[999], is("line 999"));
    }

    /** Guards against a process that cannot exit because nobody reads its output. */
    @Test
    void finishReturnsThoughTheOutputIsBlocked() {
        CountDownLatch testEnd = new CountDownLatch(1);
        LineHandler handler = new LineHandler(new BlockedStream(testEnd));
        handler.publish(new LogRecord(Level.INFO, "line"));
        long startNanos = System.nanoTime();
        handler.finish(Duration.ofMillis(50));
        assertThat(System.nanoTime() - startNanos, lessThan(TIMEOUT.toNanos()));
        testEnd.countDown();
    }

    private static final class BlockedStream extends OutputStream {
        private final CountDownLatch end;

        BlockedStream(CountDownLatch end) {
            this.end = end;
        }

        @Override
        public void write(int b) {
            boolean interrupted = false;
            while (end.getCount() > 0) {
                try {
                    end.await();
                } catch (InterruptedException e) {
                    interrupted = true;
                }
            }
            if (interrupted) {
                Thread.currentThread().interrupt();
            }
        }
    }
}
