package org.crocusgrade.core.config;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.id.QueueId;
import org.crocusgrade.core.id.ServiceId;

/**
 * One queue: the route by which callers reach it, and the settings of its submissions.
 *
 * @param host the host name in callers' requests
 * @param prefix the path prefix of requests to this queue
 * @param service the service whose pool runs the tasks
 * @param priority the priority; 0 is the highest
 * @param maxAttempts the number of failed runs after which a task is abandoned
 * @param stretch the factor of the latency objective that is multiplied by the length of the
 *     critical path
 * @param target the constant part of the latency objective
 * @param timeout the maximum duration of a call
 * @param advice the times of placement advice, if only some workers may run a step
 * @param open whether calls need no key of a customer
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
        Optional<AdvicePolicy> advice,
        boolean open) {
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
            throw new IllegalArgumentException("maxAttempts must be 1 or more");
        }
    }

    /** Returns whether a call to this host and path is routed to this queue. */
    public boolean matches(String wantedHost, String path) {
        return host.equals(wantedHost) && path.startsWith(prefix);
    }

    /**
     * The times of placement advice, which decides which workers may run a step.
     *
     * @param decide the minimum time that an answer takes
     * @param perWorker the additional time for each worker in the request
     * @param validity how long a ticket is valid
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
