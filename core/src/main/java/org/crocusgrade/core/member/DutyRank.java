package org.crocusgrade.core.member;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.crocusgrade.core.id.DaemonId;

/**
 * Ranks the daemons that may claim a duty without a holder.
 *
 * <p>Daemons with fewer duties come first; ties are broken by rendezvous hashing. Load: during a
 * rolling restart, a duty claimed by a daemon that is still to be restarted would move again, so
 * each duty could move several times. Therefore a daemon that was recently restarted, while others
 * were not, counts as holding one duty less. Example: of the daemons a, b and c, a was restarted 3
 * s ago; b stops and releases two duties. a ranks first for the first duty, and for the second too
 * if c holds at least one; if c holds none, rendezvous hashing decides.
 */
public final class DutyRank {
    /** Time after its start during which a daemon may count as restarted. */
    private static final Duration RESTART_WINDOW = Duration.ofSeconds(40);

    /** Minimum delay after the earliest start for a daemon to count as restarted. */
    private static final Duration MIN_START_LAG = Duration.ofSeconds(4);

    private DutyRank() {}

    /**
     * Returns the daemons in the order in which they may claim the duty.
     *
     * @param duty the duty's name
     * @param started the start time of each candidate
     * @param holders the holders of the other duties; a daemon appears once per duty it holds
     */
    public static List<DaemonId> order(
            String duty,
            Map<DaemonId, Instant> started,
            Collection<DaemonId> holders,
            Instant now) {
        Instant first = started.values().stream().min(Comparator.naturalOrder()).orElse(now);
        Map<DaemonId, Integer> load = new HashMap<>();
        started.forEach((d, at) -> load.put(d, isRestarted(at, first, now) ? -1 : 0));
        holders.forEach(d -> load.merge(d, 1, Integer::sum));
        List<DaemonId> ranked = Rendezvous.ranked(duty, started.keySet());
        ranked.sort(Comparator.comparing(load::get));
        return ranked;
    }

    private static boolean isRestarted(Instant at, Instant first, Instant now) {
        return Duration.between(first, at).compareTo(MIN_START_LAG) > 0
                && Duration.between(at, now).compareTo(RESTART_WINDOW) < 0;
    }
}
