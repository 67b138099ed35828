package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.crocusgrade.core.config.QueueRoute;
import org.crocusgrade.core.config.QueueTable;
import org.crocusgrade.core.id.QueueId;
import org.crocusgrade.core.id.ServiceId;

/**
 * The configuration in force in this process, and the queues of earlier ones: what was accepted by
 * a queue that was removed is still carried out.
 */
public final class QueueBook {
    private static final int ANY_ATTEMPTS = 3;
    private static final double PLAIN_STRETCH = 2.0;
    private static final Duration PLAIN_TARGET = Duration.ofSeconds(1);

    private final Map<QueueId, QueueRoute> known = new HashMap<>();
    private volatile QueueTable table = QueueTable.EMPTY;

    /** Puts a configuration in force unless it is older than the one that is. */
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

    /** Returns a queue as it is, or was when it was last there. */
    Optional<QueueRoute> lastKnown(QueueId queue) {
        return Optional.ofNullable(known.get(queue));
    }

    /** Returns a queue for submissions whose own queue this process has never seen. */
    static QueueRoute unknownQueue(QueueId queue, ServiceId service) {
        return new QueueRoute(
                queue,
                "",
                "",
                service,
                0,
                ANY_ATTEMPTS,
                PLAIN_STRETCH,
                PLAIN_TARGET,
                PLAIN_TARGET,
                Optional.empty());
    }
}
