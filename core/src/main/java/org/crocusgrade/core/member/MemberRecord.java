package org.crocusgrade.core.member;

import java.net.InetSocketAddress;
import java.util.Objects;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.Region;

/**
 * A daemon's membership entry under {@code member/}. The platform's service deletes it when the
 * daemon's lease ends.
 *
 * @param daemon the daemon's id
 * @param boot identifies the daemon's current run
 * @param region the daemon's region
 * @param zone the daemon's availability zone
 * @param peers listening address for other daemons
 * @param callers listening address for callers
 * @param operators listening address for operators
 */
public record MemberRecord(
        DaemonId daemon,
        BootId boot,
        Region region,
        AvailabilityZone zone,
        InetSocketAddress peers,
        InetSocketAddress callers,
        InetSocketAddress operators) {
    /** Key prefix of all member records. */
    public static final String PREFIX = "member/";

    /** Checks that no field is missing. */
    public MemberRecord {
        Objects.requireNonNull(daemon);
        Objects.requireNonNull(boot);
        Objects.requireNonNull(region);
        Objects.requireNonNull(zone);
        Objects.requireNonNull(peers);
        Objects.requireNonNull(callers);
        Objects.requireNonNull(operators);
    }

    /** Returns the key of a daemon's member record. */
    public static String key(DaemonId daemon) {
        return PREFIX + daemon.value();
    }
}
