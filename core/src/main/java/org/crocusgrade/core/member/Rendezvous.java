package org.crocusgrade.core.member;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Collection;
import java.util.List;
import java.util.Optional;
import java.util.zip.CRC32C;
import org.crocusgrade.core.id.DaemonId;

/**
 * Rendezvous hashing: assigns items to daemons so that daemons with the same member list agree, and
 * a change of one member moves only that member's items.
 */
public final class Rendezvous {
    private static final long MIX_1 = 0xff51afd7ed558ccdL;
    private static final long MIX_2 = 0xc4ceb9fe1a85ec53L;
    private static final int HALF = 33;

    private Rendezvous() {}

    /** Returns the daemon with the highest weight for the item, if there is any. */
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

    /** Returns the daemons in order of their weights for the item, the highest first. */
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
        hash ^= hash >>> HALF;
        hash *= MIX_1;
        hash ^= hash >>> HALF;
        hash *= MIX_2;
        return hash ^ hash >>> HALF;
    }

    private static long checksum(String text) {
        CRC32C crc = new CRC32C();
        crc.update(text.getBytes(StandardCharsets.UTF_8));
        return crc.getValue();
    }
}
