package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.crocusgrade.core.fleet.plan.SurgeSequenceSnapshot;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.port.FormatException;
import org.crocusgrade.daemon.batch.FleetDutyState.HostOrder;
import org.crocusgrade.peer.proto.StoredFleet;
import org.junit.jupiter.api.Test;

/**
 * The state of the fleet duty survives encoding, and the ages in it are advanced to the time of
 * reading.
 */
class FleetDutyStateTest {
    private static final Instant WRITTEN = Instant.parse("2026-01-01T00:00:00Z");
    private static final ServiceId A = new ServiceId("a");
    private static final ServiceId B = new ServiceId("b");
    private static final SurgeSequenceSnapshot SURGES =
            new SurgeSequenceSnapshot(
                    List.of(4.5, 4.4),
                    Optional.of(A),
                    List.of(
                            new SurgeSequenceSnapshot.PoolSnapshot(
                                    A, 5, 400, 380, 1.5, true, Optional.of(B)),
                            new SurgeSequenceSnapshot.PoolSnapshot(
                                    B, 4, 6, Double.NaN, Double.NaN, false, Optional.empty())));
    private static final FleetDutyState STATE =
            new FleetDutyState(
                    7,
                    true,
                    Map.of(
                            new HostId("h1"),
                            new HostOrder(Optional.of(A), Duration.ofMillis(700)),
                            new HostId("h2"),
                            new HostOrder(Optional.empty(), Duration.ZERO)),
                    WRITTEN,
                    SURGES);

    @Test
    void decodingRestoresWhatWasEncoded() throws FormatException {
        assertThat(FleetDutyState.decode(STATE.encode()), is(STATE));
    }

    /** Guards against a host whose order of an older version is unknown, and so taken for over. */
    @Test
    void hostsOfARecordOfAnOlderVersionCountAsJustOrdered() throws FormatException {
        byte[] older =
                StoredFleet.newBuilder().setTerm(1).addOrderedHosts("h1").build().toByteArray();
        HostOrder order = new HostOrder(Optional.empty(), Duration.ZERO);
        assertThat(FleetDutyState.decode(older).orders(), is(Map.of(new HostId("h1"), order)));
    }

    @Test
    void surgeAgesAdvanceWithTheAgeOfTheState() {
        SurgeSequenceSnapshot later = STATE.surgesAt(WRITTEN.plusMillis(2500));
        assertThat(later.pools().get(0).sinceStart(), closeTo(4.0, 0.001));
        assertThat(Double.isNaN(later.pools().get(1).sinceStart()), is(true));
    }

    @Test
    void aClockBehindThatOfTheWriterReducesNoAge() {
        SurgeSequenceSnapshot earlier = STATE.surgesAt(WRITTEN.minusSeconds(3));
        assertThat(earlier.pools().get(0).sinceStart(), closeTo(1.5, 0.001));
    }

    @Test
    void invalidBytesAreRejected() {
        assertThrows(
                FormatException.class, () -> FleetDutyState.decode(new byte[] {(byte) 0xff, 1}));
    }
}
