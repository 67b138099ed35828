package org.crocusgrade.daemon.owner;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.member.DaemonRun;
import org.crocusgrade.core.member.MemberRecord;

/** Finds runs of daemons that have been absent from the members for long. */
final class GoneBorrowers {
    private static final Duration ABSENT = Duration.ofSeconds(3);

    private final Map<DaemonId, BootId> boots = new HashMap<>();
    private final Map<DaemonId, Long> absentSince = new HashMap<>();

    /** Returns the runs that are taken to be gone from now on. */
    List<DaemonRun> find(Map<DaemonId, MemberRecord> members, boolean reachesStore, long now) {
        List<DaemonRun> gone = new ArrayList<>();
        if (!reachesStore) {
            absentSince.clear();
            return gone;
        }
        for (MemberRecord member : members.values()) {
            BootId before = boots.put(member.daemon(), member.boot());
            absentSince.remove(member.daemon());
            if (before != null && !before.equals(member.boot())) {
                gone.add(new DaemonRun(member.daemon(), before));
            }
        }
        for (Map.Entry<DaemonId, BootId> each : boots.entrySet()) {
            if (members.containsKey(each.getKey())) {
                continue;
            }
            long since = absentSince.computeIfAbsent(each.getKey(), daemon -> now);
            if (now - since >= ABSENT.toNanos()) {
                gone.add(new DaemonRun(each.getKey(), each.getValue()));
            }
        }
        gone.forEach(run -> boots.remove(run.daemon(), run.boot()));
        return gone;
    }
}
