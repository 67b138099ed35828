package org.crocusgrade.core.maintenance;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.port.HostControl.State;

/**
 * Decides which hosts of a wave are emptied and which go into maintenance now.
 *
 * <p>Load: half of the fleet is due within one round of the queues' peaks. Only as many hosts are
 * away at a time as the time left demands, idle ones first, so that the wave takes the least from
 * the pools. A host with long-running tasks is emptied only while no other such host of its pool
 * is, since the pool needs a place for each task. Example: 12 hosts left, 20 s left, 5 s for each:
 * 12 x 5 / 20 = 3 at a time. When the time runs out, hosts whose runs may be repeated go without
 * being emptied; a host with a long-running task never does.
 */
public final class WaveSchedule {
    /** The time that emptying and maintaining a host takes. */
    private static final Duration PER_HOST = Duration.ofMillis(5500);

    /** The part of the time that is kept for what goes wrong. */
    private static final Duration RESERVE = Duration.ofSeconds(4);

    /** Less time left than this and hosts no longer wait to be empty. */
    private static final Duration LAST_CALL = Duration.ofMillis(3000);

    private WaveSchedule() {}

    /**
     * Decides.
     *
     * @param wave what is asked for
     * @param left the time until all must be done; negative when it has passed
     * @param hosts all hosts of the fleet, by name
     * @param done the hosts of the wave whose maintenance has begun
     * @param unseen hosts whose maintenance was ordered after the list of hosts was asked for, or
     *     whose order has no answer yet; the list says nothing of them
     * @param pressure processors that tasks wait for, by pool, in thousandths of a core
     */
    public static Decision decide(
            WaveRequest wave,
            Duration left,
            Map<HostId, HostView> hosts,
            Set<HostId> done,
            Set<HostId> unseen,
            Map<ServiceId, Long> pressure) {
        int away = 0;
        List<HostView> open = new ArrayList<>();
        int waiting = 0;
        for (HostId host : wave.hosts()) {
            HostView view = hosts.get(host);
            if (view == null) {
                continue;
            }
            boolean maintained = done.contains(host);
            if (unseen.contains(host) || view.state() == State.MAINTENANCE) {
                away++;
            }
            if (!maintained) {
                waiting++;
                if (view.state() == State.UP && !unseen.contains(host)) {
                    open.add(view);
                }
            }
        }
        if (waiting == 0) {
            return new Decision(Set.of(), List.of(), true);
        }
        open.sort(order(pressure));
        int atOnce = Math.min(wave.atOnce(), needed(waiting, left));
        List<HostId> maintain = new ArrayList<>();
        for (HostView host : open) {
            boolean lastCall = left.compareTo(LAST_CALL) < 0 && host.longRunning() == 0;
            boolean ready = host.isEmpty() || lastCall && host.known();
            if (ready && away + maintain.size() < Math.min(wave.atOnce(), atOnce + 1)) {
                maintain.add(host.host());
            }
        }
        return new Decision(evacuations(open, maintain, atOnce + 1), maintain, false);
    }

    /** Returns how many hosts must be away at a time for the wave to end in time. */
    private static int needed(int waiting, Duration left) {
        long usable = Math.max(1, left.minus(RESERVE).toMillis());
        long needed = (waiting * PER_HOST.toMillis() + usable - 1) / usable;
        return (int) Math.max(1, Math.min(waiting, needed));
    }

    private static Comparator<HostView> order(Map<ServiceId, Long> pressure) {
        return Comparator.comparing((HostView h) -> !h.isEmpty())
                .thenComparing(h -> !h.evacuating())
                .thenComparing(h -> pressure.getOrDefault(h.pool(), 0L) > 0)
                .thenComparing(HostView::longRunning)
                .thenComparing(HostView::running)
                .thenComparing(HostView::host);
    }

    private static Set<HostId> evacuations(List<HostView> open, List<HostId> maintain, int atOnce) {
        Set<HostId> chosen = new LinkedHashSet<>(maintain);
        Set<ServiceId> crowded = new HashSet<>();
        for (HostView host : open) {
            if (chosen.size() >= atOnce) {
                break;
            }
            if (host.standby() || chosen.contains(host.host())) {
                continue;
            }
            boolean alone = host.longRunning() == 0 || crowded.add(host.pool());
            if (alone) {
                chosen.add(host.host());
            }
        }
        return chosen;
    }

    /**
     * What to do now.
     *
     * @param evacuate the hosts on which nothing new may start
     * @param maintain the hosts whose maintenance is to begin
     * @param complete whether the maintenance of all hosts that are left has begun
     */
    public record Decision(Set<HostId> evacuate, List<HostId> maintain, boolean complete) {
        /** Copies the collections. */
        public Decision {
            evacuate = Set.copyOf(evacuate);
            maintain = List.copyOf(maintain);
        }
    }
}
