package org.crocusgrade.core.member;

import java.util.Comparator;
import java.util.Objects;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;

/**
 * One run (process lifetime) of a daemon. Two runs of the same daemon never overlap, because both
 * would have to bind the same address.
 */
public record DaemonRun(DaemonId daemon, BootId boot) implements Comparable<DaemonRun> {
    private static final Comparator<DaemonRun> ORDER =
            Comparator.comparing(DaemonRun::daemon).thenComparing(DaemonRun::boot);

    /** Checks the fields. */
    public DaemonRun {
        Objects.requireNonNull(daemon);
        Objects.requireNonNull(boot);
    }

    /** Returns whether both are runs of the same daemon, but not the same run. */
    public boolean isOtherRunOf(DaemonRun other) {
        return daemon.equals(other.daemon) && !boot.equals(other.boot);
    }

    @Override
    public int compareTo(DaemonRun other) {
        return ORDER.compare(this, other);
    }

    @Override
    public String toString() {
        return daemon + "/" + boot;
    }
}
