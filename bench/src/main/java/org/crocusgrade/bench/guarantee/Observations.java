package org.crocusgrade.bench.guarantee;

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
 * What callers, workers and the platform recorded of a trial; the input of the guarantee checks.
 *
 * @param calls the calls that callers sent and the answers that they received
 * @param receipts the requests that reached workers
 * @param hostEvents the workers' changes of state at the platform, in chronological order
 * @param pools the writes of workers' pools that took effect at the platform, in chronological
 *     order
 * @param maxUnavailable by pool, how many of its workers may be unavailable at once
 * @param rollouts the published configurations and the probes that show when daemons applied them
 * @param stops the planned stops of daemons
 * @param leavingBound how long a worker may still receive requests after it started to leave
 * @param rolloutBound how long after its publication a configuration may take to be in force
 */
public record Observations(
        List<CallRecord> calls,
        List<Receipt> receipts,
        List<HostEvent> hostEvents,
        List<PoolWrite> pools,
        Map<PoolId, Integer> maxUnavailable,
        List<Rollout> rollouts,
        List<PlannedStop> stops,
        Duration leavingBound,
        Duration rolloutBound) {
    /** Copies the collections. */
    public Observations {
        calls = List.copyOf(calls);
        receipts = List.copyOf(receipts);
        hostEvents = List.copyOf(hostEvents);
        pools = List.copyOf(pools);
        maxUnavailable = Map.copyOf(maxUnavailable);
        rollouts = List.copyOf(rollouts);
        stops = List.copyOf(stops);
        Objects.requireNonNull(leavingBound);
        Objects.requireNonNull(rolloutBound);
    }

    /** Returns observations without any record, with the given bounds. */
    public static Observations none(Duration leavingBound, Duration rolloutBound) {
        return new Observations(
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
     * A worker's entry in a rack record that was written to the platform's key-value service.
     *
     * @param at when the write took effect
     * @param worker the worker
     * @param pool the pool that the worker is in from this write on
     * @param state the worker state that the rack's owner recorded
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
     * A published configuration whose effect shows in the answers to callers.
     *
     * @param published when it was published
     * @param probes the probes of the daemons, in chronological order for each daemon
     */
    public record Rollout(Instant published, List<Probe> probes) {
        /** Copies the list. */
        public Rollout {
            Objects.requireNonNull(published);
            probes = List.copyOf(probes);
        }

        /**
         * Returns the time from the publication until the last probed daemon followed; empty if a
         * daemon was not seen to follow or none was probed.
         */
        public Optional<Duration> duration() {
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

        /** Returns when a daemon was first seen to follow, if it was. */
        public Optional<Instant> firstAt(InetSocketAddress daemon) {
            return probes.stream()
                    .filter(probe -> probe.daemon().equals(daemon) && probe.followed())
                    .map(Probe::ended)
                    .findFirst();
        }
    }

    /**
     * One call to a daemon whose answer shows which configuration it applies.
     *
     * @param daemon the address that the call was sent to
     * @param sent when it was sent
     * @param ended when it was answered
     * @param followed whether the daemon answered by the new configuration
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
     * @param daemon its address for callers
     * @param begin when the stop was requested
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
