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
 * What is kept of maintenance in the platform's service. It is written before anything that follows
 * from it is done, so that a replaced planner finds in it all that may have been begun.
 *
 * @param epoch the epoch of the planner that wrote it; a planner of an older one must not
 * @param wave the number of the latest wave
 * @param status whether a wave goes on
 * @param stopped why it is stopped, if it is
 * @param image the image that it rolls out, if any
 * @param attempt the policy's attempt that it belongs to
 * @param started when it began
 * @param hosts how far the hosts are that it took
 * @param maintained when each host was maintained last, or first seen
 * @param hostTime the mean time that a host took from its drain to its return
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
        Duration hostTime) {
    /** The most hosts of one region's record. */
    public static final int MAX_HOSTS = 4096;

    /** The record before any wave. */
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
        Objects.requireNonNull(hostTime);
        hosts = Collections.unmodifiableMap(new TreeMap<>(hosts));
        maintained = Collections.unmodifiableMap(new TreeMap<>(maintained));
        if (hosts.size() > MAX_HOSTS || maintained.size() > MAX_HOSTS) {
            throw new IllegalArgumentException("a record of maintenance has too many hosts");
        }
        if (wave < 0 || attempt < 0 || hostTime.isNegative()) {
            throw new IllegalArgumentException("a record of maintenance is out of range");
        }
    }

    /** Returns the number of hosts in a phase. */
    public int count(HostProgress.Phase phase) {
        return (int) hosts.values().stream().filter(h -> h.phase() == phase).count();
    }

    /** Whether a wave goes on. */
    public enum Status {
        /** No host is due. */
        IDLE,
        /** Hosts are taken one after the other. */
        RUNNING,
        /** No further host is taken until operators publish a new image or attempt. */
        STOPPED
    }
}
