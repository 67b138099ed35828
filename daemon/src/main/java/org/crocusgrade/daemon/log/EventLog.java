package org.crocusgrade.daemon.log;

import com.google.common.flogger.FluentLogger;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLongArray;
import org.crocusgrade.core.port.Clock;

/**
 * Writes events as log lines of key-value pairs. The lines of each event are limited to {@link
 * #LINES_PER_SECOND}; suppressed lines are counted, and the next line that is written reports their
 * number.
 */
public final class EventLog {
    /**
     * The maximum number of lines of one event per second: several times the rate at which a busy
     * pool starts runs.
     */
    static final int LINES_PER_SECOND = 400;

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final Clock clock;
    private final Map<Event, Window> windows = new EnumMap<>(Event.class);
    private final AtomicLongArray counts = new AtomicLongArray(Event.values().length);

    /** Creates an event log; lines carry the time of the clock. */
    public EventLog(Clock clock) {
        this.clock = clock;
    }

    /**
     * Writes a line, or suppresses it beyond the limit.
     *
     * @param keysAndValues keys and values alternately
     */
    public void log(Event event, Object... keysAndValues) {
        counts.incrementAndGet(event.ordinal());
        long suppressed = admit(event);
        if (suppressed < 0) {
            return;
        }
        StringBuilder line = new StringBuilder(128);
        line.append("ts=").append(clock.now());
        line.append(" level=").append(event.level().getName());
        line.append(" code=").append(event.code());
        line.append(" event=").append(event.text());
        for (int i = 0; i + 1 < keysAndValues.length; i += 2) {
            append(line, keysAndValues[i], keysAndValues[i + 1]);
        }
        if (suppressed > 0) {
            append(line, "suppressed", suppressed);
        }
        logger.at(event.level()).log("%s", line);
    }

    /** Returns how often an event has been reported, including suppressed lines. */
    public long count(Event event) {
        return counts.get(event.ordinal());
    }

    /**
     * Returns the number of lines suppressed since the last one written, or a negative number if
     * this one must be suppressed too.
     */
    private synchronized long admit(Event event) {
        long now = clock.nanoTime();
        Window window = windows.computeIfAbsent(event, e -> new Window(now));
        if (now - window.startNanos >= NANOS_PER_SECOND) {
            window.startNanos = now;
            window.lines = 0;
        }
        if (++window.lines > LINES_PER_SECOND) {
            window.suppressed++;
            return -1;
        }
        long suppressed = window.suppressed;
        window.suppressed = 0;
        return suppressed;
    }

    private static void append(StringBuilder line, Object key, Object value) {
        String text = String.valueOf(value);
        line.append(' ').append(key).append('=');
        if (text.indexOf(' ') < 0 && text.indexOf('"') < 0 && text.indexOf('\n') < 0) {
            line.append(text);
            return;
        }
        String quoted = text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\n", "\\n");
        line.append('"').append(quoted).append('"');
    }

    private static final class Window {
        private long startNanos;
        private int lines;
        private long suppressed;

        Window(long startNanos) {
            this.startNanos = startNanos;
        }
    }
}
