package org.crocusgrade.core.member;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.util.EnumSet;
import java.util.Optional;
import java.util.Set;
import java.util.regex.Pattern;
import org.crocusgrade.core.fleet.SlotTable;
import org.crocusgrade.core.member.Model.Part;
import org.junit.jupiter.api.Test;

/**
 * Explores the ownership rule: it holds over all interleavings to the depth, and each rule weakened
 * by one line is found out.
 */
class ExplorerTest {
    private static final Set<Part> NONE = EnumSet.noneOf(Part.class);

    /** No breach is looked for beyond this many steps. */
    private static final int MAX_DEPTH = 14;

    private static final String TAKE_OVER = "tick.?|absent1|promise0[02]|fence1[12]|close1|take1";

    private static Explorer.Result explore(
            ModelRules rules, Set<Part> parts, int faults, int depth, String scope) {
        Model model = new Model(rules, faults, parts, Pattern.compile(scope).asMatchPredicate());
        return new Explorer(model).explore(model.start(), depth);
    }

    private static void holds(Set<Part> parts, int faults, int depth) {
        Explorer.Result result = explore(new ModelRules(), parts, faults, depth, ".*");
        assertThat(result.breach(), is(Optional.empty()));
    }

    /** Finds the weakened rule's breach, and none by the product's rule among the same steps. */
    private static void isFound(ModelRules weakened, Set<Part> parts, String scope, String breach) {
        Explorer.Result found = explore(weakened, parts, 2, MAX_DEPTH, scope);
        assertThat(found.breach().orElse("none"), startsWith(breach));
        Explorer.Result sound = explore(new ModelRules(), parts, 2, found.depth(), scope);
        assertThat(sound.breach(), is(Optional.empty()));
    }

    @Test
    void takeOversKeepOneOwner() {
        holds(NONE, 2, 9);
    }

    @Test
    void restartsKeepOneOwner() {
        holds(EnumSet.of(Part.RESTARTS), 2, 8);
    }

    @Test
    void pausesKeepOneOwner() {
        holds(EnumSet.of(Part.PAUSES), 2, 8);
    }

    @Test
    void changesOfWitnessesWithLostAnswersKeepOneOwner() {
        holds(EnumSet.of(Part.WITNESS_CHANGES, Part.LOST_ANSWERS), 2, 6);
    }

    @Test
    void movesAndStopsKeepOnePoolAndOneOwner() {
        holds(EnumSet.of(Part.MOVES, Part.STOPS, Part.LOST_ANSWERS), 2, 6);
    }

    @Test
    void everythingTogetherKeepsOnePoolAndOneOwner() {
        holds(EnumSet.allOf(Part.class), 3, 4);
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
        Set<Part> parts = NONE;
        isFound(weakened, parts, TAKE_OVER, "two owners");
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
        Set<Part> parts = NONE;
        isFound(weakened, parts, TAKE_OVER, "two owners");
    }

    @Test
    void aFenceGivenDespiteAPromiseIsFound() {
        ModelRules weakened =
                new ModelRules() {
                    @Override
                    Witness.Answer fence(Witness witness, DaemonRun owner, long term, long now) {
                        return new Witness.Answer(witness, true);
                    }
                };
        Set<Part> parts = NONE;
        isFound(weakened, parts, TAKE_OVER, "two owners");
    }

    @Test
    void aRestartedWitnessThatCountsAtOnceIsFound() {
        ModelRules weakened =
                new ModelRules() {
                    @Override
                    TakeOver onRunSeen(TakeOver attempt, DaemonRun run, long now) {
                        for (DaemonRun each : attempt.target().witnesses().runs()) {
                            if (each.isOtherRunOf(run)) {
                                return attempt.onFenced(each);
                            }
                        }
                        return attempt;
                    }
                };
        Set<Part> parts = EnumSet.of(Part.RESTARTS);
        isFound(weakened, parts, TAKE_OVER + "|restart2|seen12", "two owners");
    }

    @Test
    void aTakeOverThatDoesNotWaitForSlotLeasesIsFound() {
        ModelRules weakened =
                new ModelRules() {
                    @Override
                    long quietEnd(RackTransitions.Take take, long now) {
                        return now;
                    }
                };
        Set<Part> parts = NONE;
        isFound(weakened, parts, TAKE_OVER, "two owners");
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
        Set<Part> parts = EnumSet.of(Part.MOVES);
        isFound(weakened, parts, "tick.?|plan.|read0|drain..|commit..|serve..", "two pools");
    }

    @Test
    void aRackGivenUpBeforeTheRecallIsFound() {
        ModelRules weakened =
                new ModelRules() {
                    @Override
                    boolean mayGiveUp(SlotTable.Outstanding out) {
                        return true;
                    }
                };
        Set<Part> parts = EnumSet.of(Part.STOPS);
        isFound(weakened, parts, "tick.?|stop0|giveup0|take.", "two owners");
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
        Set<Part> parts = EnumSet.of(Part.STOPS, Part.LOST_ANSWERS);
        isFound(
                weakened,
                parts,
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
        Set<Part> parts = NONE;
        isFound(weakened, parts, TAKE_OVER + "|lease0|write00", "two owners");
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
        Set<Part> parts = EnumSet.of(Part.WITNESS_CHANGES, Part.LOST_ANSWERS);
        isFound(
                weakened,
                parts,
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
        Set<Part> parts = EnumSet.of(Part.PAUSES);
        isFound(weakened, parts, TAKE_OVER + "|pause0|resume0", "two owners");
    }
}
