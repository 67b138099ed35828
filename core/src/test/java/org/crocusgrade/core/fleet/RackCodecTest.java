package org.crocusgrade.core.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Optional;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.Epoch;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.RackId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.misc.RecordException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

class RackCodecTest {
    private static final RackRecord RECORD =
            new RackRecord(
                    new RackId("r1"),
                    new AvailabilityZone("rennes"),
                    Optional.of(new DaemonId("d1")),
                    Optional.of(new BootId("b1")),
                    new Epoch(7),
                    List.of(
                            new WorkerRecord(
                                    new WorkerId("w1"),
                                    new PoolId("sales"),
                                    new PoolId("desk"),
                                    WorkerState.DRAINING)));

    @Test
    void aRecordSurvivesEncodingAndDecoding() throws RecordException {
        assertThat(RackCodec.decode(RackCodec.encode(RECORD)), is(RECORD));
    }

    @Test
    void aRecordWithoutOwnerSurvivesEncodingAndDecoding() throws RecordException {
        RackRecord record =
                new RackRecord(
                        RECORD.rack(),
                        RECORD.zone(),
                        Optional.empty(),
                        Optional.empty(),
                        Epoch.NONE,
                        RECORD.workers());
        assertThat(RackCodec.decode(RackCodec.encode(record)), is(record));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "[]|MALFORMED",
                "{|MALFORMED",
                "{\"rack\":\"r\",\"rack\":\"r\"}|MALFORMED",
                "{\"rack\":\"r\",\"zone\":\"z\",\"epoch\":1,\"workers\":[],\"x\":1}|UNKNOWN_FIELD",
                "{\"rack\":\"r\",\"epoch\":1,\"workers\":[]}|MISSING_FIELD",
                "{\"rack\":\"r\",\"zone\":\"z\",\"epoch\":-1,\"workers\":[]}|OUT_OF_RANGE",
                "{\"rack\":\"r\",\"zone\":\"z\",\"epoch\":1.5,\"workers\":[]}|MALFORMED",
                "{\"rack\":\"r\",\"zone\":\"z\",\"epoch\":1,\"workers\":[{\"worker\":\"w\","
                        + "\"pool\":\"p\",\"target\":\"p\",\"state\":\"GONE\"}]}|OUT_OF_RANGE",
            })
    void anInvalidRecordIsRefused(String text, RecordException.Kind kind) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        RecordException e = assertThrows(RecordException.class, () -> RackCodec.decode(bytes));
        assertThat(e.kind(), is(kind));
    }
}
