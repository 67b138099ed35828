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
 * The order in which daemons may take a duty that nobody holds.
 *
 * <p>Daemons with fewer duties come first; among equals rendezvous hashing decides. Load: a rolling
 * restart, in which each duty would move several times if it went to daemons that are still to be
 * restarted. So a daemon that was restarted while others were not counts as having one duty less.
 * Worked case: of a, b and c, a was restarted 3 s ago; b stops and hands back two duties. a takes
 * the first, and the second too unless c holds none.
 */
public final class DutyRank {
    /** How long after its start a daemon counts as just restarted. */
    private static final Duration JUST = Duration.ofSeconds(40);

    /** How much later than the first a daemon must have started to count as restarted. */
    private static final Duration LATER = Duration.ofSeconds(4);

    private DutyRank() {}

    /**
     * Returns the daemons, the first to take the duty first.
     *
     * @param duty the duty's name
     * @param started when each daemon started
     * @param holders who holds the other duties, once for each
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
        return Duration.between(first, at).compareTo(LATER) > 0
                && Duration.between(at, now).compareTo(JUST) < 0;
    }
}
