package org.crocusgrade.standin.hosts;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.HostEntry;

/**
 * The hosts of the stand-in platform, past versions of the host list, and the reboots requested.
 * Past versions let a reader get the list as it was some time ago.
 */
public final class HostListState {
    private static final int MAX_VERSIONS = 10_000;

    /**
     * One version of the host list. Every change of a host's state makes a new version.
     *
     * @param number version number, 1 higher than that of the version before
     * @param nanos monotonic time of the change that made this version, in nanoseconds
     * @param hosts all hosts, in order of worker id
     */
    public record Version(long number, long nanos, List<HostEntry> hosts) {}

    private final Clock clock;
    private final Map<WorkerId, HostEntry> hosts = new TreeMap<>();
    private final Deque<Version> versions = new ArrayDeque<>();
    private final Map<String, String> operations = new HashMap<>();
    private final List<HostEvent> events = new ArrayList<>();

    /** Creates the state with its initial hosts. */
    public HostListState(Clock clock, List<HostEntry> first) {
        this.clock = Objects.requireNonNull(clock);
        first.forEach(host -> hosts.put(host.worker(), host));
        addVersion();
    }

    /** Returns the list as it was the given lag ago, or the oldest version kept. */
    public synchronized Version versionAt(Duration lag) {
        long cutoff = clock.nanoTime() - lag.toNanos();
        Version latest = versions.peekFirst();
        for (Version version : versions) {
            if (version.nanos() - cutoff > 0) {
                break;
            }
            latest = version;
        }
        return latest;
    }

    /** Returns a host in its actual state, without the list's lag. */
    public synchronized Optional<HostEntry> host(WorkerId worker) {
        return Optional.ofNullable(hosts.get(worker));
    }

    /** Returns all changes of state so far, oldest first. */
    public synchronized List<HostEvent> events() {
        return List.copyOf(events);
    }

    /** Returns the number of reboots accepted, those in progress included. */
    public synchronized int reboots() {
        return operations.size();
    }

    /** The result of a request to reboot a worker. */
    public enum RebootResult {
        /** The reboot starts now. */
        STARTED,
        /** The same operation was accepted before; it is not carried out again. */
        ALREADY_ACCEPTED,
        /** No host has this worker id. */
        UNKNOWN_WORKER,
        /** The operation id was used before for another worker or image. */
        OPERATION_ID_REUSED
    }

    /**
     * Starts a reboot unless the operation id was used before. Repeating a request is therefore
     * safe.
     */
    public synchronized RebootResult requestReboot(
            WorkerId worker, String image, String operation) {
        if (!hosts.containsKey(worker)) {
            return RebootResult.UNKNOWN_WORKER;
        }
        String requested = worker.value() + " " + image;
        String earlier = operations.putIfAbsent(operation, requested);
        if (earlier == null) {
            setState(worker, HostEntry.State.DOWN, image, true);
            return RebootResult.STARTED;
        }
        return earlier.equals(requested)
                ? RebootResult.ALREADY_ACCEPTED
                : RebootResult.OPERATION_ID_REUSED;
    }

    /** Sets a host's state, recorded as a change that no requested reboot caused. */
    public synchronized void setState(WorkerId worker, HostEntry.State state) {
        setState(worker, state, hosts.get(worker).image(), false);
    }

    /** Completes a requested reboot: the worker is live again. */
    public synchronized void completeReboot(WorkerId worker) {
        setState(worker, HostEntry.State.LIVE, hosts.get(worker).image(), true);
    }

    private void setState(WorkerId worker, HostEntry.State state, String image, boolean planned) {
        HostEntry old = hosts.get(worker);
        HostEntry entry =
                new HostEntry(
                        old.worker(),
                        old.address(),
                        old.rack(),
                        old.zone(),
                        state,
                        old.cores(),
                        old.memoryBytes(),
                        old.accelerators(),
                        old.slots(),
                        old.connections(),
                        image);
        hosts.put(worker, entry);
        events.add(new HostEvent(worker, state, planned, now()));
        addVersion();
    }

    private Instant now() {
        return clock.now();
    }

    private void addVersion() {
        long number = versions.isEmpty() ? 1 : versions.peekLast().number() + 1;
        versions.addLast(new Version(number, clock.nanoTime(), List.copyOf(hosts.values())));
        if (versions.size() > MAX_VERSIONS) {
            versions.removeFirst();
        }
    }
}
