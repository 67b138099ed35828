package org.crocusgrade.daemon.batch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.HostControl.PooledHost;
import org.crocusgrade.peer.proto.EvacuationMessage;
import org.crocusgrade.peer.proto.PoolStatusMessage;

/**
 * Requests the owners of pools to evacuate workers, and determines from their reports whether they
 * have received the request.
 *
 * <p>Idea: a report that a worker is evacuating and empty proves that it stays empty only if it was
 * made after the owner had received the latest request that includes the worker. So requests carry
 * the holder's fencing token and a sequence number, and reports return those of the latest request
 * received. Worked case: request 5 includes a worker, request 6 does not and request 7 does again.
 * A report that reflects request 5 does not count any more, because the owner may have started
 * tasks on the worker between 6 and 7; one that reflects 7 does.
 */
final class EvacuationRequests {
    /** Interval at which requests are repeated, in nanoseconds. */
    private static final long REPEAT_NANOS = 300_000_000L;

    private final Clock clock;
    private final Consumer<EvacuationMessage> sender;
    private final Set<ServiceId> notifiedPools = new HashSet<>();

    /** The hosts to evacuate, with the sequence of the first message that requested it. */
    private Map<HostId, Long> requested = Map.of();

    private long token;
    private long sequence;
    private long sentNanos;

    EvacuationRequests(Clock clock, Consumer<EvacuationMessage> sender) {
        this.clock = clock;
        this.sender = sender;
    }

    /** Forgets all requests, at the beginning of an ownership of the fleet duty. */
    void reset(long newToken) {
        token = newToken;
        requested = Map.of();
    }

    /** Records a report of a pool's owner. */
    void onReport(PoolStatusMessage report) {
        boolean evacuating = report.getWorkersList().stream().anyMatch(w -> w.getEvacuating());
        if (evacuating) {
            notifiedPools.add(new ServiceId(report.getService()));
        }
    }

    /**
     * Returns whether an owner's report was made after the owner had received the request to
     * evacuate a host.
     */
    boolean isReflectedBy(PoolStatusMessage report, HostId host) {
        Long since = requested.get(host);
        return since != null
                && report.getEvacuationToken() == token
                && report.getEvacuationSequence() >= since;
    }

    /**
     * Sends each owner the workers to evacuate. Owners that have been sent workers before, or that
     * report evacuating ones, get a message even if it is empty, which ends evacuations that only a
     * former holder requested.
     */
    void send(Set<HostId> wanted, Map<HostId, PooledHost> hosts) {
        long now = clock.nanoTime();
        boolean due = now - sentNanos >= REPEAT_NANOS;
        boolean changed = !wanted.equals(requested.keySet());
        if (!changed && (!due || wanted.isEmpty() && notifiedPools.isEmpty())) {
            return;
        }
        sentNanos = now;
        Map<ServiceId, EvacuationMessage.Builder> messages = new HashMap<>();
        for (ServiceId pool : notifiedPools) {
            messages.put(pool, message(pool));
        }
        Map<HostId, Long> next = new HashMap<>();
        for (HostId host : wanted) {
            PooledHost pooled = hosts.get(host);
            long since = requested.getOrDefault(host, Long.MAX_VALUE);
            if (pooled != null && pooled.worker().isPresent()) {
                EvacuationMessage.Builder message =
                        messages.computeIfAbsent(pooled.pool(), this::message);
                message.addWorkers(pooled.worker().get().value());
                since = Math.min(since, message.getSequence());
            }
            next.put(host, since);
        }
        requested = Map.copyOf(next);
        messages.values().forEach(m -> sender.accept(m.build()));
        notifiedPools.clear();
        messages.forEach(
                (pool, m) -> {
                    if (m.getWorkersCount() > 0) {
                        notifiedPools.add(pool);
                    }
                });
    }

    private EvacuationMessage.Builder message(ServiceId pool) {
        return EvacuationMessage.newBuilder()
                .setService(pool.value())
                .setToken(token)
                .setSequence(++sequence);
    }
}
