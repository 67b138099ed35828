package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.util.Optional;
import org.crocusgrade.core.customer.CustomerLimits;

/** Typical limits of a platform, for tests. */
final class TestLimits {
    private static final long HEAP_BYTES = 1 << 27;

    static final PlatformLimits USUAL =
            new PlatformLimits(
                    Duration.ofSeconds(6),
                    Duration.ofSeconds(120),
                    Duration.ofSeconds(3),
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(6),
                    CustomerLimits.NONE,
                    HEAP_BYTES);

    /** The same with a bound of 5 s for withdrawn keys. */
    static final PlatformLimits STRICT_KEYS =
            new PlatformLimits(
                    USUAL.maxRunLease(),
                    USUAL.statusRetention(),
                    USUAL.orderSpacing(),
                    USUAL.minStoreLease(),
                    USUAL.stopGrace(),
                    new CustomerLimits(Optional.of(Duration.ofSeconds(5)), 0.1),
                    HEAP_BYTES);

    /** The same with little memory. */
    static final PlatformLimits LITTLE_MEMORY =
            new PlatformLimits(
                    USUAL.maxRunLease(),
                    USUAL.statusRetention(),
                    USUAL.orderSpacing(),
                    USUAL.minStoreLease(),
                    USUAL.stopGrace(),
                    CustomerLimits.NONE,
                    100_000);

    private TestLimits() {}
}
