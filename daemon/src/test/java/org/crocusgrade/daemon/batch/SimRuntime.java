package org.crocusgrade.daemon.batch;

import java.util.Map;
import java.util.Random;
import org.crocusgrade.core.port.HostControl;
import org.crocusgrade.daemon.log.EventLog;

/** Makes the services of a simulated daemon without workers, for tests of a single component. */
final class SimRuntime {
    private SimRuntime() {}

    static BatchRuntime create(SimTime time, SimStore.Client store, HostControl hosts) {
        Random random = new Random(1);
        return new BatchRuntime(
                store,
                new SimOrders(time, random, Map.of()),
                hosts,
                null,
                new SimFormat(false),
                time,
                random,
                new SimLoop(time),
                new EventLog(time),
                TestLimits.USUAL);
    }
}
