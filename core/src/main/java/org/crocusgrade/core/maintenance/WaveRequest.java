package org.crocusgrade.core.maintenance;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.crocusgrade.core.id.HostId;

/**
 * A maintenance wave requested by operators.
 *
 * @param wave number of the wave
 * @param hosts the hosts to maintain
 * @param within time within which all the hosts are to be maintained
 * @param atOnce maximum number of hosts in maintenance at a time, at least 1
 */
public record WaveRequest(int wave, List<HostId> hosts, Duration within, int atOnce) {
    /** Copies the list and checks the fields. */
    public WaveRequest {
        hosts = List.copyOf(hosts);
        Objects.requireNonNull(within);
        if (atOnce <= 0) {
            throw new IllegalArgumentException(
                    "a wave must allow at least one host in maintenance at a time");
        }
    }
}
