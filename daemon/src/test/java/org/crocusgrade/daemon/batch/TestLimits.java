package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.util.Optional;
import org.crocusgrade.core.customer.CustomerLimits;

/** Typical limits of a platform, for tests. */
final class TestLimits {
    private static final long HEAP_BYTES = 1 << 27;

    static final PlatformLimits USUAL = with(CustomerLimits.NONE, HEAP_BYTES);

    /** The same with a bound of 5 s for withdrawn keys. */
    static final PlatformLimits STRICT_KEYS =
            with(new CustomerLimits(Optional.of(Duration.ofSeconds(5)), 0.1), HEAP_BYTES);

    /** The same with little memory. */
    static final PlatformLimits LITTLE_MEMORY = with(CustomerLimits.NONE, 100_000);

    private TestLimits() {}

    private static PlatformLimits with(CustomerLimits customers, long heapBytes) {
        return new PlatformLimits(
                Duration.ofSeconds(6),
                Duration.ofSeconds(120),
                Duration.ofSeconds(3),
                Duration.ofSeconds(1),
                Duration.ofSeconds(6),
                customers,
                heapBytes);
    }
}
