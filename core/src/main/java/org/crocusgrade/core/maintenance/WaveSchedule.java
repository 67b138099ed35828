package org.crocusgrade.core.maintenance;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.port.HostControl.State;

/**
 * Decides which hosts of a requested wave to evacuate and whose maintenance to start now.
 *
 * <p>Load: half of the fleet is due within one cycle of the queues' load peaks. To take as little
 * capacity as possible from the pools, only about as many hosts are in maintenance at a time as the
 * remaining time requires, and idle hosts go first. At most one host with long-running tasks is
 * evacuated per pool at a time, since the pool needs room elsewhere for each of these tasks. If a
 * pool has so many of them in the wave that they take all of the time that remains one after the
 * other, they are evacuated before idle hosts are maintained.
 *
 * <p>Example: 12 hosts and 20 s remain. With a reserve of 4 s and 5.5 s per host, 12 x 5.5 / 16 =
 * 4.1, so 5 hosts must be in maintenance at a time; one more may be, within the limit of the wave.
 *
 * <p>When little time remains, maintenance also starts on hosts that still run tasks, as these may
 * be run again; but never on a host with a long-running task or without a recent report.
 */
public final class WaveSchedule {
    /** Expected time to evacuate and maintain a host. */
    private static final Duration PER_HOST = Duration.ofMillis(5500);

    /** Part of the remaining time that is not planned for, as a margin for failures. */
    private static final Duration TIME_RESERVE = Duration.ofSeconds(4);

    /** Remaining time below which hosts go into maintenance without being evacuated. */
    private static final Duration FORCE_THRESHOLD = Duration.ofMillis(3000);

    private WaveSchedule() {}

    /**
     * Returns what to do for a wave now.
     *
     * @param wave the requested wave
     * @param remaining time until all hosts must have been maintained; negative once it has passed
     * @param hosts all hosts of the fleet, by id
     * @param started the hosts of the wave whose maintenance has started
     * @param unconfirmed hosts whose maintenance was ordered after the list of hosts was requested,
     *     or whose order has not been answered; the list may not show their maintenance yet
     * @param waitingMilliCores processor capacity that waiting tasks need, by pool, in thousandths
     *     of a core
     */
    public static Decision decide(
            WaveRequest wave,
            Duration remaining,
            Map<HostId, HostView> hosts,
            Set<HostId> started,
            Set<HostId> unconfirmed,
            Map<ServiceId, Long> waitingMilliCores) {
        int inMaintenance = 0;
        List<HostView> candidates = new ArrayList<>();
        int notStarted = 0;
        for (HostId host : wave.hosts()) {
            HostView view = hosts.get(host);
            if (view == null) {
                continue;
            }
            boolean maintained = started.contains(host);
            if (unconfirmed.contains(host) || view.state() == State.MAINTENANCE) {
                inMaintenance++;
            }
            if (!maintained) {
                notStarted++;
                if (view.state() == State.UP && view.orderable() && !unconfirmed.contains(host)) {
                    candidates.add(view);
                }
            }
        }
        if (notStarted == 0) {
            return new Decision(Set.of(), List.of(), true);
        }
        candidates.sort(order(waitingMilliCores));
        int atOnce = Math.min(wave.atOnce(), requiredAtOnce(notStarted, remaining));
        List<HostId> maintain = new ArrayList<>();
        for (HostView host : candidates) {
            boolean forced = remaining.compareTo(FORCE_THRESHOLD) < 0 && host.longRunning() == 0;
            boolean ready = host.isEmpty() || forced && host.recentlyReported();
            if (ready && inMaintenance + maintain.size() < Math.min(wave.atOnce(), atOnce + 1)) {
                maintain.add(host.host());
            }
        }
        Set<HostId> evacuate = urgentEvacuations(candidates, remaining);
        evacuate.addAll(evacuations(candidates, maintain, atOnce + 1));
        return new Decision(evacuate, maintain, false);
    }

    /** Returns how many hosts must be in maintenance at a time for the wave to end in time. */
    private static int requiredAtOnce(int notStarted, Duration remaining) {
        long usable = usableMillis(remaining);
        long requiredAtOnce = (notStarted * PER_HOST.toMillis() + usable - 1) / usable;
        return (int) Math.max(1, Math.min(notStarted, requiredAtOnce));
    }

    private static long usableMillis(Duration remaining) {
        return Math.max(1, remaining.minus(TIME_RESERVE).toMillis());
    }

    /**
     * Returns, for each pool whose hosts with long-running tasks take all of the remaining time one
     * after the other, the first of them.
     */
    private static Set<HostId> urgentEvacuations(List<HostView> candidates, Duration remaining) {
        Map<ServiceId, Integer> waiting = new HashMap<>();
        Map<ServiceId, HostId> first = new HashMap<>();
        for (HostView host : candidates) {
            if (!host.standby() && host.longRunning() > 0) {
                waiting.merge(host.pool(), 1, Integer::sum);
                first.putIfAbsent(host.pool(), host.host());
            }
        }
        long usable = usableMillis(remaining);
        first.keySet().removeIf(p -> waiting.get(p) * PER_HOST.toMillis() < usable);
        return new LinkedHashSet<>(first.values());
    }

    private static Comparator<HostView> order(Map<ServiceId, Long> waitingMilliCores) {
        return Comparator.comparing((HostView h) -> !h.isEmpty())
                .thenComparing(h -> !h.evacuating())
                .thenComparing(h -> waitingMilliCores.getOrDefault(h.pool(), 0L) > 0)
                .thenComparing(HostView::longRunning)
                .thenComparing(HostView::running)
                .thenComparing(HostView::host);
    }

    private static Set<HostId> evacuations(
            List<HostView> candidates, List<HostId> maintain, int atOnce) {
        Set<HostId> chosen = new LinkedHashSet<>(maintain);
        Set<ServiceId> longRunningPools = new HashSet<>();
        for (HostView host : candidates) {
            if (chosen.size() >= atOnce) {
                break;
            }
            if (host.standby() || chosen.contains(host.host())) {
                continue;
            }
            boolean allowed = host.longRunning() == 0 || longRunningPools.add(host.pool());
            if (allowed) {
                chosen.add(host.host());
            }
        }
        return chosen;
    }

    /**
     * What to do for a wave now.
     *
     * @param evacuate the hosts on which nothing new may start
     * @param maintain the hosts whose maintenance is to start
     * @param complete whether the maintenance of every host of the wave that is still in the fleet
     *     has started
     */
    public record Decision(Set<HostId> evacuate, List<HostId> maintain, boolean complete) {
        /** Copies the collections. */
        public Decision {
            evacuate = Set.copyOf(evacuate);
            maintain = List.copyOf(maintain);
        }
    }
}
