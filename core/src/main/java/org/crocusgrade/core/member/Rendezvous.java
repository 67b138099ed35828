package org.crocusgrade.core.member;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.crocusgrade.core.id.DaemonId;

/**
 * Rendezvous hashing: assigns items to daemons so that all daemons with the same member list
 * compute the same assignment, and adding or removing one member moves only that member's items.
 */
public final class Rendezvous {
    // Constants of the 64-bit finalizer of MurmurHash3.
    private static final long MIX_1 = 0xff51afd7ed558ccdL;
    private static final long MIX_2 = 0xc4ceb9fe1a85ec53L;
    private static final int MIX_SHIFT = 33;

    private Rendezvous() {}

    /** Returns the daemon with the highest weight for the item; empty if there are no daemons. */
    public static Optional<DaemonId> highest(String item, Collection<DaemonId> daemons) {
        DaemonId best = null;
        long bestWeight = 0;
        for (DaemonId daemon : daemons) {
            long weight = weight(item, daemon);
            boolean first = best == null;
            boolean tie = !first && weight == bestWeight && daemon.compareTo(best) > 0;
            if (first || tie || Long.compareUnsigned(weight, bestWeight) > 0) {
                best = daemon;
                bestWeight = weight;
            }
        }
        return Optional.ofNullable(best);
    }

    /** Returns the daemons by descending weight for the item; ties in descending order of id. */
    public static List<DaemonId> ranked(String item, Collection<DaemonId> daemons) {
        List<DaemonId> ranked = new ArrayList<>(daemons);
        ranked.sort(
                (a, b) -> {
                    int order = Long.compareUnsigned(weight(item, b), weight(item, a));
                    return order != 0 ? order : b.compareTo(a);
                });
        return ranked;
    }

    private static long weight(String item, DaemonId daemon) {
        long hash = checksum(item) << Integer.SIZE | checksum(daemon.value());
        hash ^= hash >>> MIX_SHIFT;
        hash *= MIX_1;
        hash ^= hash >>> MIX_SHIFT;
        hash *= MIX_2;
        return hash ^ hash >>> MIX_SHIFT;
    }

    private static long checksum(String text) {
        CRC32C crc = new CRC32C();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return crc.getValue();
    }
}
