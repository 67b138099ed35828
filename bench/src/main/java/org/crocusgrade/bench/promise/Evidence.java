package org.crocusgrade.bench.promise;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.fleet.WorkerState;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.standin.hosts.HostEvent;
import org.crocusgrade.standin.load.CallRecord;
import org.crocusgrade.standin.worker.Receipt;

/**
 * What was seen of the system from outside.
 *
 * @param calls what callers sent and were told
 * @param receipts what workers were sent
 * @param hostEvents the workers' changes of state at the platform, in order of time
 * @param pools the writes of workers' pools that took effect at the platform, in order of time
 * @param unavailable the most workers of each pool that may be unavailable at once
 * @param rollouts the configurations published and when daemons were seen to follow them
 * @param stops the planned stops of daemons
 * @param leavingBound how long after it leaves a worker may still be sent work
 * @param rolloutBound how long after its publish a configuration may take to be in force
 */
public record Evidence(
        List<CallRecord> calls,
        List<Receipt> receipts,
        List<HostEvent> hostEvents,
        List<PoolWrite> pools,
        Map<PoolId, Integer> unavailable,
        List<Rollout> rollouts,
        List<PlannedStop> stops,
        Duration leavingBound,
        Duration rolloutBound) {
    /** Copies the collections. */
    public Evidence {
        calls = List.copyOf(calls);
        receipts = List.copyOf(receipts);
        hostEvents = List.copyOf(hostEvents);
        pools = List.copyOf(pools);
        unavailable = Map.copyOf(unavailable);
        rollouts = List.copyOf(rollouts);
        stops = List.copyOf(stops);
        Objects.requireNonNull(leavingBound);
        Objects.requireNonNull(rolloutBound);
    }

    /** Returns evidence of nothing. */
    public static Evidence none(Duration leavingBound, Duration rolloutBound) {
        return new Evidence(
                List.of(),
                List.of(),
                List.of(),
                List.of(),
                Map.of(),
                List.of(),
                List.of(),
                leavingBound,
                rolloutBound);
    }

    /**
     * A worker's entry in a rack record as it was written.
     *
     * @param at when the write took effect
     * @param worker the worker
     * @param pool the pool that it is in from then on
     * @param state what its owner lets happen on it from then on
     */
    public record PoolWrite(Instant at, WorkerId worker, PoolId pool, WorkerState state) {
        /** Checks the fields. */
        public PoolWrite {
            Objects.requireNonNull(at);
            Objects.requireNonNull(worker);
            Objects.requireNonNull(pool);
            Objects.requireNonNull(state);
        }
    }

    /**
     * A configuration whose effect callers can see.
     *
     * @param published when its publish was accepted
     * @param probes what callers saw of it, in order of time for each daemon
     */
    public record Rollout(Instant published, List<Probe> probes) {
        /** Copies the list. */
        public Rollout {
            Objects.requireNonNull(published);
            probes = List.copyOf(probes);
        }

        /** Returns how long it took until the last daemon followed, if all of them did. */
        public Optional<Duration> time() {
            Duration longest = Duration.ZERO;
            for (InetSocketAddress daemon : daemons()) {
                Optional<Instant> first = firstAt(daemon);
                if (first.isEmpty()) {
                    return Optional.empty();
                }
                Duration took = Duration.between(published, first.get());
                longest = took.compareTo(longest) > 0 ? took : longest;
            }
            return probes.isEmpty() ? Optional.empty() : Optional.of(longest);
        }

        /** Returns the daemons that were probed. */
        public List<InetSocketAddress> daemons() {
            return probes.stream().map(Probe::daemon).distinct().toList();
        }

        /** Returns when a daemon was first seen to follow. */
        public Optional<Instant> firstAt(InetSocketAddress daemon) {
            return probes.stream()
                    .filter(p -> p.daemon().equals(daemon) && p.followed())
                    .map(Probe::ended)
                    .findFirst();
        }
    }

    /**
     * One look at a daemon.
     *
     * @param daemon where the call was sent
     * @param sent when it was sent
     * @param ended when it was answered
     * @param followed whether the answer was as the new configuration has it
     */
    public record Probe(InetSocketAddress daemon, Instant sent, Instant ended, boolean followed) {
        /** Checks the fields. */
        public Probe {
            Objects.requireNonNull(daemon);
            Objects.requireNonNull(sent);
            Objects.requireNonNull(ended);
        }
    }

    /**
     * A planned stop of a daemon.
     *
     * @param daemon where it takes calls
     * @param begin when it was asked to stop
     * @param end when it had stopped
     */
    public record PlannedStop(InetSocketAddress daemon, Instant begin, Instant end) {
        /** Checks the fields. */
        public PlannedStop {
            Objects.requireNonNull(daemon);
            Objects.requireNonNull(begin);
            Objects.requireNonNull(end);
        }
    }
}
