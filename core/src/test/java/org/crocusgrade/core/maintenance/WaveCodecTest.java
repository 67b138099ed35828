package org.crocusgrade.core.maintenance;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.time.Instant;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.crocusgrade.core.id.Epoch;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.misc.RecordException;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards that wave records survive encoding and that malformed or unknown input is rejected. */
class WaveCodecTest {
    private static WaveRecord record(int hosts) {
        Map<WorkerId, HostProgress> progress = new TreeMap<>();
        Map<WorkerId, Instant> maintained = new TreeMap<>();
        Instant at = Instant.ofEpochMilli(1_700_000_000_000L);
        for (int i = 0; i < hosts; i++) {
            WorkerId worker = new WorkerId("worker-" + i);
            HostProgress.Phase[] phases = HostProgress.Phase.values();
            progress.put(
                    worker,
                    new HostProgress(
                            phases[i % phases.length],
                            at,
                            at,
                            "wave-7-worker-" + i,
                            i % 2 == 0
                                    ? Optional.empty()
                                    : Optional.of(MaintenanceReason.REBOOT_TIMEOUT)));
            maintained.put(worker, at);
        }
        return new WaveRecord(
                new Epoch(3),
                7,
                WaveRecord.Status.STOPPED,
                Optional.of(MaintenanceReason.CANARY_FAILED),
                Optional.of("v2"),
                1,
                at,
                progress,
                maintained,
                Duration.ofSeconds(90));
    }

    @Test
    void decodesWhatItEncoded() throws RecordException {
        for (WaveRecord record : new WaveRecord[] {WaveRecord.EMPTY, record(14)}) {
            assertThat(WaveCodec.decode(WaveCodec.encode(record)), equalTo(record));
        }
    }

    @Test
    void largestRecordFitsThePlatformsService() {
        assertThat(WaveCodec.encode(record(WaveRecord.MAX_HOSTS)).length, lessThan(1 << 20));
    }

    @ParameterizedTest
    @CsvSource(
            delimiter = '|',
            value = {
                "[1]|MALFORMED",
                "{|MALFORMED",
                "{\"epoch\":1,\"surprise\":2}|UNKNOWN_FIELD",
                "{\"epoch\":1}|MISSING_FIELD",
                "{\"epoch\":-1,\"wave\":1,\"status\":\"IDLE\",\"attempt\":0,\"started\":0,"
                        + "\"hosts\":{},\"maintained\":{},\"hostMillis\":0}|OUT_OF_RANGE",
                "{\"epoch\":1,\"wave\":1,\"status\":\"IDLE\",\"attempt\":0,\"started\":0,"
                        + "\"hosts\":{\"h\":{\"phase\":\"GONE\",\"since\":0,\"started\":0,"
                        + "\"operation\":\"o\"}},\"maintained\":{},\"hostMillis\":0}|OUT_OF_RANGE"
            })
    void rejectsMalformedOrUnknownInput(String text, RecordException.Kind kind) {
        byte[] bytes = text.getBytes(StandardCharsets.UTF_8);
        RecordException e = assertThrows(RecordException.class, () -> WaveCodec.decode(bytes));
        assertThat(e.kind(), is(kind));
    }
}
