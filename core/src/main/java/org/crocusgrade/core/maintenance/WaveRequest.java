package org.crocusgrade.core.maintenance;

import java.time.Duration;
import java.util.List;
import java.util.Objects;
import org.crocusgrade.core.id.HostId;

/**
 * A wave that operators ask for.
 *
 * @param wave its number
 * @param hosts the hosts that are due
 * @param within the time in which all are to be maintained
 * @param atOnce most hosts in maintenance at a time
 */
public record WaveRequest(int wave, List<HostId> hosts, Duration within, int atOnce) {
    /** Copies the list and checks the fields. */
    public WaveRequest {
        hosts = List.copyOf(hosts);
        Objects.requireNonNull(within);
        if (atOnce <= 0) {
            throw new IllegalArgumentException("a wave must allow a host at a time");
        }
    }
}
