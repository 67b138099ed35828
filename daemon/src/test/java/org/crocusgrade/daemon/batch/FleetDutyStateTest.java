package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Instant;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.crocusgrade.core.fleet.plan.TurnMemory;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.port.FormatException;
import org.junit.jupiter.api.Test;

/** What a holder of the fleet's duty leaves is read as it was written. */
class FleetDutyStateTest {
    private static final Instant WRITTEN = Instant.parse("2026-01-01T00:00:00Z");
    private static final ServiceId A = new ServiceId("a");
    private static final ServiceId B = new ServiceId("b");
    private static final TurnMemory TURNS =
            new TurnMemory(
                    List.of(4.5, 4.4),
                    Optional.of(A),
                    List.of(
                            new TurnMemory.PoolMemory(A, 5, 400, 380, 1.5, true, Optional.of(B)),
                            new TurnMemory.PoolMemory(
                                    B, 4, 6, Double.NaN, Double.NaN, false, Optional.empty())));
    private static final FleetDutyState NOTE =
            new FleetDutyState(7, true, Set.of(new HostId("h1"), new HostId("h2")), WRITTEN, TURNS);

    @Test
    void aNoteIsReadAsItWasWritten() throws FormatException {
        assertThat(FleetDutyState.decode(NOTE.encode()), is(NOTE));
    }

    @Test
    void surgesGrowOlderWithTheNote() {
        TurnMemory later = NOTE.turnsAt(WRITTEN.plusMillis(2500));
        assertThat(later.pools().get(0).sinceStart(), closeTo(4.0, 0.001));
        assertThat(Double.isNaN(later.pools().get(1).sinceStart()), is(true));
    }

    @Test
    void aClockThatIsBehindMakesNothingYounger() {
        TurnMemory earlier = NOTE.turnsAt(WRITTEN.minusSeconds(3));
        assertThat(earlier.pools().get(0).sinceStart(), closeTo(1.5, 0.001));
    }

    @Test
    void bytesThatAreNoNoteAreRefused() {
        assertThrows(
                FormatException.class, () -> FleetDutyState.decode(new byte[] {(byte) 0xff, 1}));
    }
}
