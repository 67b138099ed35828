package org.crocusgrade.core.member;

import java.net.InetSocketAddress;
import java.util.Objects;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.Region;

/**
 * A daemon's entry under {@code member/}, which lapses with its lease.
 *
 * @param daemon its id
 * @param boot its run
 * @param region its region
 * @param zone its availability zone
 * @param peers where it listens for other daemons
 * @param callers where it listens for callers
 * @param operators where it listens for operators
 */
public record MemberRecord(
        DaemonId daemon,
        BootId boot,
        Region region,
        AvailabilityZone zone,
        InetSocketAddress peers,
        InetSocketAddress callers,
        InetSocketAddress operators) {
    /** The prefix of the entries' keys. */
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

    /** Returns the key of a daemon's entry. */
    public static String key(DaemonId daemon) {
        return PREFIX + daemon.value();
    }
}
