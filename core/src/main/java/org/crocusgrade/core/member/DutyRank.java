package org.crocusgrade.core.member;

import java.time.Duration;
import java.time.Instant;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import org.crocusgrade.core.id.DaemonId;

/**
 * Ranks the daemons that may claim a duty without a holder.
 *
 * <p>The owner of a pool needs processor time in proportion to the pool, and daemons differ in what
 * they have. So the daemon comes first that would have the fewest duties for its processors with
 * this one: a daemon with 1.5 cores and one duty comes before one with 0.4 cores and none, as 2 /
 * 1.5 is less than 1 / 0.4. Ties are broken by processors, then by rendezvous hashing.
 *
 * <p>Load: during a rolling restart, a duty claimed by a daemon that is still to be restarted would
 * move again, so each duty could move several times. Therefore a daemon that was recently
 * restarted, while others were not, counts as holding one duty less. Example: of the daemons a, b
 * and c, which have the same processors, a was restarted 3 s ago; b stops and releases two duties.
 * a ranks first for the first duty, and for the second too if c holds at least one; if c holds
 * none, rendezvous hashing decides.
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
     * @param holders the holders of the other duties; a daemon appears once per duty it holds
     */
    public static List<DaemonId> order(
            String duty,
            Map<DaemonId, Candidate> candidates,
            Collection<DaemonId> holders,
            Instant now) {
        Instant first =
                candidates.values().stream()
                        .map(Candidate::started)
                        .min(Comparator.naturalOrder())
                        .orElse(now);
        Map<DaemonId, Integer> duties = new HashMap<>();
        candidates.forEach((d, c) -> duties.put(d, isRestarted(c.started, first, now) ? -1 : 0));
        holders.forEach(d -> duties.merge(d, 1, Integer::sum));
        List<DaemonId> ranked = Rendezvous.ranked(duty, candidates.keySet());
        Comparator<DaemonId> byLoad =
                Comparator.comparing(
                        d -> (duties.get(d) + 1) / (double) candidates.get(d).milliCores);
        ranked.sort(byLoad.thenComparing(d -> -candidates.get(d).milliCores));
        return ranked;
    }

    private static boolean isRestarted(Instant at, Instant first, Instant now) {
        return Duration.between(first, at).compareTo(MIN_START_LAG) > 0
                && Duration.between(at, now).compareTo(RESTART_WINDOW) < 0;
    }

    /**
     * A daemon that may claim a duty.
     *
     * @param started when it was started
     * @param milliCores the processor time that it may use, in thousandths of a core
     */
    public record Candidate(Instant started, int milliCores) {
        /** Rejects a candidate without processors. */
        public Candidate {
            Objects.requireNonNull(started);
            if (milliCores <= 0) {
                throw new IllegalArgumentException("candidate has " + milliCores + " millicores");
            }
        }
    }
}
