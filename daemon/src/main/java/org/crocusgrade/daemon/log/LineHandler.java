package org.crocusgrade.daemon.log;

import java.io.BufferedOutputStream;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;
import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.LogManager;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/**
 * Writes log records to standard output on a thread of its own. If the reader of the output is
 * slower than the process logs, records are dropped and counted; threads that log are never
 * blocked.
 */
public final class LineHandler extends Handler {
    /**
     * The maximum number of records queued for writing; enough for some seconds of a busy process.
     */
    private static final int MAX_QUEUED_RECORDS = 4096;

    private static final int BUFFER_BYTES = 1 << 14;

    private final BlockingQueue<String> queue = new ArrayBlockingQueue<>(MAX_QUEUED_RECORDS);
    private final AtomicLong dropped = new AtomicLong();
    private final PrintStream out;
    private final Thread writer = new Thread(this::writeAll, "log");

    LineHandler(OutputStream stream) {
        out =
                new PrintStream(
                        new BufferedOutputStream(stream, BUFFER_BYTES),
                        false,
                        StandardCharsets.UTF_8);
        writer.setDaemon(true);
        writer.start();
    }

    /**
     * Installs a handler as the only one of the process.
     *
     * @param level the lowest level that is logged
     */
    public static LineHandler install(Level level) {
        LogManager.getLogManager().reset();
        Logger root = Logger.getLogger("");
        LineHandler handler = new LineHandler(new FileOutputStream(FileDescriptor.out));
        root.setLevel(level);
        root.addHandler(handler);
        return handler;
    }

    /**
     * Writes all queued records and ends the thread; later records are not written. Returns after
     * the timeout even if the reader of the output is too slow.
     */
    public void finish(Duration timeout) {
        writer.interrupt();
        try {
            writer.join(timeout.toMillis());
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    @Override
    public void publish(LogRecord record) {
        String text = record.getMessage();
        if (record.getThrown() != null) {
            text += " cause=\"" + record.getThrown() + "\"";
        }
        if (!queue.offer(text)) {
            dropped.incrementAndGet();
        }
    }

    @Override
    public void flush() {
        out.flush();
    }

    @Override
    public void close() {
        flush();
    }

    private void writeAll() {
        try {
            while (true) {
                out.println(queue.take());
                writeQueued();
            }
        } catch (InterruptedException e) {
            writeQueued();
        }
    }

    private void writeQueued() {
        String next = queue.poll();
        while (next != null) {
            out.println(next);
            next = queue.poll();
        }
        long droppedRecords = dropped.getAndSet(0);
        if (droppedRecords > 0) {
            out.println("event=log-dropped lines=" + droppedRecords);
        }
        out.flush();
    }
}
