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

/** The hosts of the stand-in platform, the list that lags behind them, and the reboots done. */
public final class HostListState {
    private static final int MAX_VERSIONS = 10_000;

    /**
     * The list as it was at some time.
     *
     * @param number grows with each change
     * @param nanos the monotonic time of the change that made it
     * @param hosts the hosts
     */
    public record Version(long number, long nanos, List<HostEntry> hosts) {}

    private final Clock clock;
    private final Map<WorkerId, HostEntry> hosts = new TreeMap<>();
    private final Deque<Version> versions = new ArrayDeque<>();
    private final Map<String, String> operations = new HashMap<>();
    private final List<HostEvent> events = new ArrayList<>();

    /** Makes the state with its first hosts. */
    public HostListState(Clock clock, List<HostEntry> first) {
        this.clock = Objects.requireNonNull(clock);
        first.forEach(host -> hosts.put(host.worker(), host));
        addVersion();
    }

    /** Returns the list as it was a lag ago, or the oldest known. */
    public synchronized Version listed(Duration lag) {
        long at = clock.nanoTime() - lag.toNanos();
        Version found = versions.peekFirst();
        for (Version version : versions) {
            if (version.nanos() - at > 0) {
                break;
            }
            found = version;
        }
        return found;
    }

    /** Returns a host as it truly is. */
    public synchronized Optional<HostEntry> host(WorkerId worker) {
        return Optional.ofNullable(hosts.get(worker));
    }

    /** Returns every change of state so far. */
    public synchronized List<HostEvent> events() {
        return List.copyOf(events);
    }

    /** Returns how many reboots were carried out. */
    public synchronized int reboots() {
        return operations.size();
    }

    /** How a reboot was taken. */
    public enum Taken {
        /** It starts now. */
        STARTED,
        /** The operation was carried out or is under way; nothing is done again. */
        REPEATED,
        /** There is no such worker. */
        NO_WORKER,
        /** The operation's id was used for something else. */
        OTHER_OPERATION
    }

    /** Takes an operation once. */
    public synchronized Taken takeReboot(WorkerId worker, String image, String operation) {
        if (!hosts.containsKey(worker)) {
            return Taken.NO_WORKER;
        }
        String wanted = worker.value() + " " + image;
        String before = operations.putIfAbsent(operation, wanted);
        if (before == null) {
            setState(worker, HostEntry.State.DOWN, image, true);
            return Taken.STARTED;
        }
        return before.equals(wanted) ? Taken.REPEATED : Taken.OTHER_OPERATION;
    }

    /** Sets a host's state for a cause that is not a reboot asked for. */
    public synchronized void setState(WorkerId worker, HostEntry.State state) {
        setState(worker, state, hosts.get(worker).image(), false);
    }

    /** Ends a reboot. */
    public synchronized void rebooted(WorkerId worker) {
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
