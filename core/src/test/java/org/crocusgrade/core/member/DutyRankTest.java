package org.crocusgrade.core.member;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.member.DutyRank.Candidate;
import org.junit.jupiter.api.Test;

/** Guards the ranking of candidates for a duty, in steady state and during a rolling restart. */
class DutyRankTest {
    private static final DaemonId A = new DaemonId("a");
    private static final DaemonId B = new DaemonId("b");
    private static final DaemonId C = new DaemonId("c");
    private static final Instant START = Instant.parse("2026-01-01T00:00:00Z");

    @Test
    void daemonsWithFewerDutiesComeFirst() {
        Map<DaemonId, Instant> started = Map.of(A, START, B, START, C, START);
        List<DaemonId> order = order(started, List.of(A, A, B), 100);
        assertThat(order, contains(C, B, A));
    }

    @Test
    void duringARollingRestartRestartedDaemonsCountOneDutyLess() {
        Map<DaemonId, Instant> started = Map.of(A, START.plusSeconds(100), B, START, C, START);
        assertThat(order(started, List.of(A, B), 103).get(0), is(A == firstByHash() ? A : C));
        assertThat(order(started, List.of(), 103).get(0), is(A));
    }

    @Test
    void aRestartLongAgoGivesNoPriority() {
        Map<DaemonId, Instant> started = Map.of(A, START.plusSeconds(100), B, START, C, START);
        assertThat(order(started, List.of(A), 200).get(2), is(A));
    }

    @Test
    void dutyGoesToTheDaemonThatHasMostProcessorsForIt() {
        Map<DaemonId, Candidate> candidates =
                Map.of(
                        A, new Candidate(START, 360),
                        B, new Candidate(START, 1500),
                        C, new Candidate(START, 360));
        assertThat(order(candidates, List.of(), START).get(0), is(B));
        assertThat("2 / 1.5 < 1 / 0.36", order(candidates, List.of(B), START).get(0), is(B));
        List<DaemonId> four = List.of(B, B, B, B);
        assertThat("5 / 1.5 > 1 / 0.36", order(candidates, four, START).get(2), is(B));
    }

    @Test
    void ofRestartedDaemonsTheOneWithMostProcessorsComesFirst() {
        Instant restart = START.plusSeconds(100);
        Candidate small = new Candidate(restart, 360);
        Candidate large = new Candidate(restart, 1500);
        Candidate running = new Candidate(START, 1500);
        assertThat(
                order(Map.of(A, small, B, large, C, running), List.of(), restart),
                contains(B, A, C));
        assertThat(
                order(Map.of(A, large, B, small, C, running), List.of(), restart),
                contains(A, B, C));
    }

    /** Returns which of a and c rendezvous hashing ranks first when both count as many duties. */
    private static DaemonId firstByHash() {
        return Rendezvous.ranked("pool.x", List.of(A, C)).get(0);
    }

    private static List<DaemonId> order(
            Map<DaemonId, Instant> started, List<DaemonId> holders, long seconds) {
        Map<DaemonId, Candidate> candidates = new HashMap<>();
        started.forEach((d, at) -> candidates.put(d, new Candidate(at, 750)));
        return order(candidates, holders, START.plusSeconds(seconds));
    }

    private static List<DaemonId> order(
            Map<DaemonId, Candidate> candidates, List<DaemonId> holders, Instant now) {
        return DutyRank.order("pool.x", candidates, holders, now);
    }
}
