package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.crocusgrade.core.config.QueueRoute;
import org.crocusgrade.core.config.QueueTable;
import org.crocusgrade.core.id.QueueId;
import org.crocusgrade.core.id.ServiceId;

/**
 * The configuration in force in this process, and the queues of earlier configurations: submissions
 * that a queue has accepted are still executed after its removal.
 */
public final class QueueRegistry {
    private static final int DEFAULT_MAX_ATTEMPTS = 3;
    private static final double DEFAULT_STRETCH = 2.0;
    private static final Duration DEFAULT_TARGET = Duration.ofSeconds(1);

    private final Map<QueueId, QueueRoute> known = new HashMap<>();
    private final Map<QueueId, Remembered> remembered = new HashMap<>();
    private volatile QueueTable table = QueueTable.EMPTY;

    /**
     * Puts a configuration in force and returns true, unless its version is no newer than the
     * current one.
     */
    public boolean apply(QueueTable next) {
        if (next.version() <= table.version()) {
            return false;
        }
        for (QueueRoute queue : next.queues()) {
            known.put(queue.queue(), queue);
        }
        table = next;
        return true;
    }

    /** Returns the configuration in force. */
    public QueueTable table() {
        return table;
    }

    /**
     * Adds a queue as it was when it accepted a stored submission. It is used until a configuration
     * contains the queue, or a later submission of it is found.
     */
    void remember(QueueRoute queue, Instant accepted) {
        remembered.merge(
                queue.queue(),
                new Remembered(queue, accepted),
                (a, b) -> b.accepted.isAfter(a.accepted) ? b : a);
    }

    /**
     * Returns a queue as it was in the newest configuration that contained it, or else when it
     * accepted the latest submission that this process has loaded.
     */
    Optional<QueueRoute> lastKnown(QueueId queue) {
        QueueRoute configured = known.get(queue);
        if (configured != null) {
            return Optional.of(configured);
        }
        return Optional.ofNullable(remembered.get(queue)).map(Remembered::queue);
    }

    /**
     * Returns a default queue for submissions that an older version has stored, without a policy,
     * and whose queue is in no configuration that this process has received.
     */
    static QueueRoute unknownQueue(QueueId queue, ServiceId service) {
        return new QueueRoute(
                queue,
                "",
                "",
                service,
                0,
                DEFAULT_MAX_ATTEMPTS,
                DEFAULT_STRETCH,
                DEFAULT_TARGET,
                DEFAULT_TARGET,
                Optional.empty(),
                false);
    }

    private record Remembered(QueueRoute queue, Instant accepted) {}
}
