package org.crocusgrade.core.member;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.crocusgrade.core.fleet.SlotTable;
import org.crocusgrade.core.member.Model.Event;
import org.junit.jupiter.api.Test;

/**
 * Checks the ownership protocol by exhaustive search of a model: over all interleavings up to a
 * depth, no two daemons lease slots of one host at the same time, and no host serves two pools.
 * Also weakens one rule at a time and checks that the search then finds a breach.
 */
class ExplorerTest {
    private static final Set<Event> NONE = EnumSet.noneOf(Event.class);

    /** Maximum number of steps of the search for the breach of a weakened rule. */
    private static final int MAX_DEPTH = 14;

    private static final String TAKE_OVER = "tick.?|absent1|promise0[02]|fence1[12]|close1|take1";

    private static Explorer.Result explore(
            ModelRules rules, Set<Event> events, int faults, int depth, String scope) {
        Model model = new Model(rules, faults, events, Pattern.compile(scope).asMatchPredicate());
        return new Explorer(model).explore(model.start(), depth);
    }

    private static void assertHolds(Set<Event> events, int faults, int depth) {
        Explorer.Result result = explore(new ModelRules(), events, faults, depth, ".*");
        assertThat(result.breach(), is(Optional.empty()));
    }

    /**
     * Asserts that the search finds the breach of a weakened rule and, with the same kinds of steps
     * and to the same depth, none with the production rule.
     */
    private static void assertBreachFound(
            ModelRules weakened, Set<Event> events, String scope, String breach) {
        Explorer.Result found = explore(weakened, events, 2, MAX_DEPTH, scope);
        assertThat(found.breach().orElse("none"), startsWith(breach));
        Explorer.Result sound = explore(new ModelRules(), events, 2, found.depth(), scope);
        assertThat(sound.breach(), is(Optional.empty()));
    }

    @Test
    void takeOversKeepOneOwner() {
        assertHolds(NONE, 2, 9);
    }

    @Test
    void restartsKeepOneOwner() {
        assertHolds(EnumSet.of(Event.RESTARTS), 2, 8);
    }

    @Test
    void pausesKeepOneOwner() {
        assertHolds(EnumSet.of(Event.PAUSES), 2, 8);
    }

    @Test
    void changesOfWitnessesWithLostAnswersKeepOneOwner() {
        assertHolds(EnumSet.of(Event.WITNESS_CHANGES, Event.LOST_ANSWERS), 2, 6);
    }

    @Test
    void movesAndStopsKeepOnePoolAndOneOwner() {
        assertHolds(EnumSet.of(Event.MOVES, Event.STOPS, Event.LOST_ANSWERS), 2, 6);
    }

    @Test
    void everythingTogetherKeepsOnePoolAndOneOwner() {
        assertHolds(EnumSet.allOf(Event.class), 3, 4);
    }

    @Test
    void aTakeOverWithoutFencesIsFound() {
        ModelRules weakened =
                new ModelRules() {
                    @Override
                    boolean mayClose(TakeOver attempt, long now) {
                        return attempt.isSettled(now);
                    }
                };
        Set<Event> events = NONE;
        assertBreachFound(weakened, events, TAKE_OVER, "two owners");
    }

    @Test
    void aTakeOverWithOneFenceIsFound() {
        ModelRules weakened =
                new ModelRules() {
                    @Override
                    boolean mayClose(TakeOver attempt, long now) {
                        int all = attempt.target().witnesses().runs().size();
                        return attempt.isSettled(now) && attempt.witnessesToAsk(now).size() < all;
                    }
                };
        Set<Event> events = NONE;
        assertBreachFound(weakened, events, TAKE_OVER, "two owners");
    }

    @Test
    void aFenceGrantedDespiteAPromiseIsFound() {
        ModelRules weakened =
                new ModelRules() {
                    @Override
                    Witness.Answer fence(Witness witness, DaemonRun owner, long term, long now) {
                        return new Witness.Answer(witness, true);
                    }
                };
        Set<Event> events = NONE;
        assertBreachFound(weakened, events, TAKE_OVER, "two owners");
    }

    @Test
    void aRestartedWitnessThatCountsImmediatelyIsFound() {
        ModelRules weakened =
                new ModelRules() {
                    @Override
                    TakeOver onLiveRun(TakeOver attempt, DaemonRun run, long now) {
                        for (DaemonRun each : attempt.target().witnesses().runs()) {
                            if (each.isOtherRunOf(run)) {
                                return attempt.onFenced(each);
                            }
                        }
                        return attempt;
                    }
                };
        Set<Event> events = EnumSet.of(Event.RESTARTS);
        assertBreachFound(weakened, events, TAKE_OVER + "|restart2|seen12", "two owners");
    }

    @Test
    void aTakeOverThatDoesNotWaitForSlotLeasesIsFound() {
        ModelRules weakened =
                new ModelRules() {
                    @Override
                    long grantStart(RackTransitions.TakeCondition condition, long now) {
                        return now;
                    }
                };
        Set<Event> events = NONE;
        assertBreachFound(weakened, events, TAKE_OVER, "two owners");
    }

    @Test
    void aCommitBeforeTheRecallIsFound() {
        ModelRules weakened =
                new ModelRules() {
                    @Override
                    boolean mayCommit(SlotTable.Outstanding out) {
                        return true;
                    }
                };
        Set<Event> events = EnumSet.of(Event.MOVES);
        assertBreachFound(
                weakened, events, "tick.?|plan.|read0|drain..|commit..|serve..", "two pools");
    }

    @Test
    void aRackReleasedBeforeTheRecallIsFound() {
        ModelRules weakened =
                new ModelRules() {
                    @Override
                    boolean mayRelease(SlotTable.Outstanding out) {
                        return true;
                    }
                };
        Set<Event> events = EnumSet.of(Event.STOPS);
        assertBreachFound(weakened, events, "tick.?|stop0|giveup0|take.", "two owners");
    }

    @Test
    void aBlindRewriteAfterALostAnswerIsFound() {
        ModelRules weakened =
                new ModelRules() {
                    @Override
                    boolean rewritesBlindly() {
                        return true;
                    }
                };
        Set<Event> events = EnumSet.of(Event.STOPS, Event.LOST_ANSWERS);
        assertBreachFound(
                weakened,
                events,
                "tick.?|stop0|giveup0|lostgiveup0|take.|rewrite0|read0",
                "two owners");
    }

    @Test
    void aNewLeaseThatCountsBeforeTheRecordIsWrittenIsFound() {
        ModelRules weakened =
                new ModelRules() {
                    @Override
                    Authority onNewLease(Authority authority, long sent) {
                        return authority.onLease(sent);
                    }
                };
        Set<Event> events = NONE;
        assertBreachFound(weakened, events, TAKE_OVER + "|lease0|write00", "two owners");
    }

    @Test
    void aLostAnswerTakenForNotWrittenIsFound() {
        ModelRules weakened =
                new ModelRules() {
                    @Override
                    Authority onRecordAnswerLost(Authority authority) {
                        return authority.onNotWritten();
                    }
                };
        Set<Event> events = EnumSet.of(Event.WITNESS_CHANGES, Event.LOST_ANSWERS);
        assertBreachFound(
                weakened,
                events,
                TAKE_OVER.replace("fence1[12]", "fence11") + "|lostwrite01",
                "two owners");
    }

    @Test
    void aLateGrantThatCountsFromItsArrivalIsFound() {
        ModelRules weakened =
                new ModelRules() {
                    @Override
                    long lateGrantEnd(long checked, long now) {
                        return now + SLOT_LEASE;
                    }
                };
        Set<Event> events = EnumSet.of(Event.PAUSES);
        assertBreachFound(weakened, events, TAKE_OVER + "|pause0|resume0", "two owners");
    }
}
