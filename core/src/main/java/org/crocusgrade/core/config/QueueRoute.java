package org.crocusgrade.core.config;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.id.QueueId;
import org.crocusgrade.core.id.ServiceId;

/**
 * One queue: where callers reach it, and how its submissions are treated.
 *
 * @param queue the queue
 * @param host the host name that callers ask for
 * @param prefix the start of the path
 * @param service the pool whose workers run the tasks
 * @param priority 0 comes first
 * @param maxAttempts failed runs after which a task is given up
 * @param stretch the latency objective as a multiple of the chain of work
 * @param target what the latency objective allows beyond that
 * @param timeout the longest that a call may take
 * @param advice how long advice takes and holds, where only some workers may run a step
 */
public record QueueRoute(
        QueueId queue,
        String host,
        String prefix,
        ServiceId service,
        int priority,
        int maxAttempts,
        double stretch,
        Duration target,
        Duration timeout,
        Optional<AdvicePolicy> advice) {
    /** Checks the fields. */
    public QueueRoute {
        Objects.requireNonNull(queue);
        Objects.requireNonNull(host);
        Objects.requireNonNull(prefix);
        Objects.requireNonNull(service);
        Objects.requireNonNull(target);
        Objects.requireNonNull(timeout);
        Objects.requireNonNull(advice);
        if (maxAttempts <= 0) {
            throw new IllegalArgumentException("a queue needs an attempt at least");
        }
    }

    /** Returns whether a call belongs to this queue. */
    public boolean matches(String wantedHost, String path) {
        return host.equals(wantedHost) && path.startsWith(prefix);
    }

    /**
     * Advice on which workers may run a step.
     *
     * @param decide how long an answer takes at least
     * @param perWorker how much longer for each worker asked about
     * @param validity how long a ticket holds
     */
    public record AdvicePolicy(Duration decide, Duration perWorker, Duration validity) {
        /** Checks the fields. */
        public AdvicePolicy {
            Objects.requireNonNull(decide);
            Objects.requireNonNull(perWorker);
            Objects.requireNonNull(validity);
        }
    }
}
