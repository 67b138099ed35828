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

/**
 * Detects daemon processes that ended: those whose daemon is registered under a new boot id, and
 * those absent from the member list for {@link #MIN_ABSENCE}.
 */
final class AbsentDaemonDetector {
    private static final Duration MIN_ABSENCE = Duration.ofSeconds(3);

    private final Map<DaemonId, BootId> boots = new HashMap<>();
    private final Map<DaemonId, Long> absentSince = new HashMap<>();

    /**
     * Returns the processes newly considered ended; each is returned once. Without access to the
     * platform's service the member list may be stale, so nothing is returned and absences start
     * anew.
     *
     * @param reachesStore whether this daemon's own member lease is valid
     */
    List<DaemonRun> find(Map<DaemonId, MemberRecord> members, boolean reachesStore, long now) {
        List<DaemonRun> ended = new ArrayList<>();
        if (!reachesStore) {
            absentSince.clear();
            return ended;
        }
        for (MemberRecord member : members.values()) {
            BootId previous = boots.put(member.daemon(), member.boot());
            absentSince.remove(member.daemon());
            if (previous != null && !previous.equals(member.boot())) {
                ended.add(new DaemonRun(member.daemon(), previous));
            }
        }
        for (Map.Entry<DaemonId, BootId> entry : boots.entrySet()) {
            if (members.containsKey(entry.getKey())) {
                continue;
            }
            long absentSinceNanos = absentSince.computeIfAbsent(entry.getKey(), daemon -> now);
            if (now - absentSinceNanos >= MIN_ABSENCE.toNanos()) {
                ended.add(new DaemonRun(entry.getKey(), entry.getValue()));
            }
        }
        ended.forEach(run -> boots.remove(run.daemon(), run.boot()));
        return ended;
    }
}
