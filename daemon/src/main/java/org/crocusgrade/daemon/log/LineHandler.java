package org.crocusgrade.daemon.log;

import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
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

    private LineHandler() {
        FileOutputStream file = new FileOutputStream(FileDescriptor.out);
        out =
                new PrintStream(
                        new java.io.BufferedOutputStream(file, BUFFER_BYTES),
                        false,
                        StandardCharsets.UTF_8);
    }

    /**
     * Installs a handler as the only one of the process.
     *
     * @param level the lowest level that is logged
     */
    public static void install(Level level) {
        LogManager.getLogManager().reset();
        Logger root = Logger.getLogger("");
        LineHandler handler = new LineHandler();
        root.setLevel(level);
        root.addHandler(handler);
        Thread writer = new Thread(handler::writeAll, "log");
        writer.setDaemon(true);
        writer.start();
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
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
