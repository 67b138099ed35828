package org.crocusgrade.core.maintenance;

import java.time.Duration;
import java.time.Instant;
import java.util.Collections;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.crocusgrade.core.id.Epoch;
import org.crocusgrade.core.id.WorkerId;

/**
 * State of maintenance, stored in the platform's service. It is written before the actions that
 * follow from it are carried out, so a planner that replaces another finds in it every action that
 * may have been started.
 *
 * @param epoch epoch of the planner that wrote the record; a planner with an earlier epoch must not
 *     replace it
 * @param wave number of the latest wave
 * @param status status of that wave
 * @param stopped why the wave was stopped, if it was
 * @param image the policy's image at the latest step, if any
 * @param attempt the policy's attempt at the latest step
 * @param started when the wave started
 * @param hosts progress of the hosts whose maintenance the wave has started
 * @param maintained when each host was last maintained or, if it was not yet, first observed
 * @param meanHostTime moving average of the time from the start of a host's drain until it is back
 *     in service; zero if not yet measured
 */
public record WaveRecord(
        Epoch epoch,
        long wave,
        Status status,
        Optional<MaintenanceReason> stopped,
        Optional<String> image,
        int attempt,
        Instant started,
        Map<WorkerId, HostProgress> hosts,
        Map<WorkerId, Instant> maintained,
        Duration meanHostTime) {
    /** Maximum number of hosts in the record of a region. */
    public static final int MAX_HOSTS = 4096;

    /** The record before the first wave. */
    public static final WaveRecord EMPTY =
            new WaveRecord(
                    Epoch.NONE,
                    0,
                    Status.IDLE,
                    Optional.empty(),
                    Optional.empty(),
                    0,
                    Instant.EPOCH,
                    Map.of(),
                    Map.of(),
                    Duration.ZERO);

    /** Checks the fields and copies the maps. */
    public WaveRecord {
        Objects.requireNonNull(epoch);
        Objects.requireNonNull(status);
        Objects.requireNonNull(stopped);
        Objects.requireNonNull(image);
        Objects.requireNonNull(started);
        Objects.requireNonNull(meanHostTime);
        hosts = Collections.unmodifiableMap(new TreeMap<>(hosts));
        maintained = Collections.unmodifiableMap(new TreeMap<>(maintained));
        if (hosts.size() > MAX_HOSTS || maintained.size() > MAX_HOSTS) {
            throw new IllegalArgumentException("wave record has more than 4096 hosts");
        }
        if (wave < 0 || attempt < 0 || meanHostTime.isNegative()) {
            throw new IllegalArgumentException(
                    "wave, attempt or meanHostTime of a wave record is negative");
        }
    }

    /** Returns the number of hosts in a phase. */
    public int count(HostProgress.Phase phase) {
        return (int) hosts.values().stream().filter(h -> h.phase() == phase).count();
    }

    /** Status of a wave. */
    public enum Status {
        /** No wave is in progress: no host is due or in maintenance. */
        IDLE,
        /** The maintenance of due hosts is started as the budgets allow. */
        RUNNING,
        /** No further host is started until operators publish another image or attempt. */
        STOPPED
    }
}
