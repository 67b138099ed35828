package org.crocusgrade.daemon.log;

import com.google.common.flogger.FluentLogger;
import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.atomic.AtomicLongArray;
import org.crocusgrade.core.port.Clock;

/**
 * Writes events as lines of keys and values. Lines of each event are limited to {@link
 * #LINES_PER_SECOND}; what is left out is counted and told with the next line that is written.
 */
public final class EventLog {
    /** Most lines of one event in a second: several times the rate of a busy pool's starts. */
    static final int LINES_PER_SECOND = 400;

    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final Clock clock;
    private final Map<Event, Window> windows = new EnumMap<>(Event.class);
    private final AtomicLongArray counts = new AtomicLongArray(Event.values().length);

    /** Makes a log. */
    public EventLog(Clock clock) {
        this.clock = clock;
    }

    /**
     * Writes a line.
     *
     * @param pairs keys and values by turns
     */
    public void log(Event event, Object... pairs) {
        counts.incrementAndGet(event.ordinal());
        long left = admit(event);
        if (left < 0) {
            return;
        }
        StringBuilder line = new StringBuilder(128);
        line.append("ts=").append(clock.now());
        line.append(" level=").append(event.level().getName());
        line.append(" code=").append(event.code());
        line.append(" event=").append(event.text());
        for (int i = 0; i + 1 < pairs.length; i += 2) {
            append(line, pairs[i], pairs[i + 1]);
        }
        if (left > 0) {
            append(line, "suppressed", left);
        }
        logger.at(event.level()).log("%s", line);
    }

    /** Returns how often an event has happened, logged or not. */
    public long count(Event event) {
        return counts.get(event.ordinal());
    }

    /** Returns the lines left out since the last, or a negative number to leave this one out. */
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
        long left = window.suppressed;
        window.suppressed = 0;
        return left;
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
