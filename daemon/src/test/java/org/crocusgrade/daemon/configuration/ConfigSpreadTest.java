package org.crocusgrade.daemon.configuration;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.nio.file.Path;
import java.time.Duration;
import java.util.function.BooleanSupplier;
import org.crocusgrade.daemon.Daemon;
import org.crocusgrade.daemon.TestFleet;
import org.crocusgrade.standin.platform.PlatformFaults;
import org.junit.jupiter.api.Test;

/**
 * Tests that configuration reaches all daemons, also one that starts while the platform's service
 * is down and can obtain it only from its peers.
 */
class ConfigSpreadTest {
    private static final Path SAMPLES = Path.of("../samples/laineflux");
    private static final Path OTHERS = Path.of("../samples/authority");
    private static final Duration WITHIN = Duration.ofSeconds(10);
    private static final PlatformFaults DOWN = new PlatformFaults(true, false, Duration.ZERO, 0);

    @Test
    void newVersionsReachEveryDaemon() throws Exception {
        try (TestFleet fleet = new TestFleet(4)) {
            for (int i = 0; i < 6; i++) {
                fleet.startDaemon();
            }
            fleet.publish(SAMPLES);
            await(() -> lowestVersion(fleet) == 1);
            fleet.publish(OTHERS);
            await(() -> lowestVersion(fleet) == 2);
            assertThat(fleet.daemons.get(4).config().fleet().services().size(), is(10));
        }
    }

    @Test
    void daemonStartedWithPlatformDownGetsConfigurationFromPeers() throws Exception {
        try (TestFleet fleet = new TestFleet(4)) {
            fleet.startDaemon();
            fleet.publish(SAMPLES);
            await(() -> lowestVersion(fleet) == 1);
            fleet.platform.setFaults(DOWN);
            Daemon late = fleet.startDaemon();
            await(() -> late.config().head().version().value() == 1);
            assertThat(late.config().head(), equalTo(fleet.daemons.get(0).config().head()));
        }
    }

    private static long lowestVersion(TestFleet fleet) {
        return fleet.daemons.stream()
                .mapToLong(d -> d.config().head().version().value())
                .min()
                .orElse(0);
    }

    private static void await(BooleanSupplier condition) throws InterruptedException {
        long end = System.nanoTime() + WITHIN.toNanos();
        while (!condition.getAsBoolean()) {
            assertThat("condition met before the deadline", System.nanoTime() < end, is(true));
            Thread.sleep(10);
        }
    }
}
