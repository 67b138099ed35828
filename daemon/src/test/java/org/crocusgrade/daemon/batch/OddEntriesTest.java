package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.daemon.control.PrefixWatcher;
import org.crocusgrade.peer.proto.StoredDaemon;
import org.crocusgrade.peer.proto.StoredHolder;
import org.crocusgrade.peer.proto.StoredProgress;
import org.crocusgrade.peer.proto.StoredSubmission;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against a pool that stands still because another writer has left an entry that cannot be
 * read: the workers that join or leave after it must still be seen, and a new owner must load.
 */
class OddEntriesTest {
    private static final String ABSENT_ID = "00000000000000ff";

    @ParameterizedTest
    @ValueSource(strings = {"", "x", "1", "x 8000", "1 99999999999999999999", SimFormat.ENDLESS})
    void unreadableWorkerStopsNeitherTheRegistryNorANewOwner(String odd) {
        SimFleet fleet = new SimFleet(1);
        fleet.store.write("servers/odd", bytes(odd));
        fleet.submit(60);
        fleet.submit(60);
        fleet.time.run(500);
        SimWorker joined = fleet.join("joined");
        fleet.time.run(500);
        assertThat("the registry is still read", joined.report().running(), is(not(empty())));
        takeOverAndFinish(fleet);
    }

    /** Guards against starts on a worker that drains, after the registry has stopped (DRAIN). */
    @ParameterizedTest
    @ValueSource(strings = {"", "x", SimFormat.ENDLESS})
    void workerThatDrainsAfterAnUnreadableEntryGetsNoMoreRuns(String odd) {
        SimFleet fleet = new SimFleet(1);
        fleet.store.write("servers/odd", bytes(odd));
        fleet.time.run(500);
        SimWorker leaving = fleet.workers.values().iterator().next();
        String draining = leaving.startedEpochMillis() + " " + leaving.milliCores() + " draining";
        fleet.store.write("servers/" + leaving.id, bytes(draining));
        for (int i = 0; i < 10; i++) {
            fleet.submit(60);
            fleet.time.run(300);
        }
        assertThat(fleet.checks.starts(), greaterThan(60));
        assertThat(leaving.report().running(), empty());
    }

    @Test
    void recordsOfAnotherWriterUnderOurPrefixesDoNotKeepANewOwnerFromLoading() {
        SimFleet fleet = new SimFleet(1);
        fleet.submit(60);
        fleet.time.run(300);
        String service = SimFleet.SERVICE.value();
        byte[] longAgo =
                StoredSubmission.newBuilder()
                        .setService(service)
                        .setQueue(SimFleet.QUEUE.value())
                        .setAcceptedEpochMs(Long.MIN_VALUE)
                        .build()
                        .toByteArray();
        fleet.store.write(StoreKeys.SUBMISSIONS + ABSENT_ID, longAgo);
        byte[] oddState =
                StoredProgress.newBuilder().setService(service).setState(77).build().toByteArray();
        fleet.store.write(StoreKeys.PROGRESS + ABSENT_ID, oddState);
        byte[] noAddress = StoredDaemon.newBuilder().setStartedEpochMs(-1).build().toByteArray();
        fleet.store.write(StoreKeys.DAEMONS + "odd", noAddress);
        byte[] nobody = StoredHolder.newBuilder().build().toByteArray();
        fleet.store.write(StoreKeys.HOLDERS + "odd", nobody);
        takeOverAndFinish(fleet);
    }

    @Test
    void randomBytesOfAnotherWriterDoNotKeepANewOwnerFromLoading() {
        for (int seed = 1; seed <= 20; seed++) {
            SimFleet fleet = new SimFleet(seed);
            Random random = new Random(seed);
            fleet.submit(30);
            List<String> prefixes =
                    List.of(
                            "servers/odd",
                            "op/odd",
                            StoreKeys.SUBMISSIONS + ABSENT_ID,
                            StoreKeys.PROGRESS + ABSENT_ID,
                            StoreKeys.DAEMONS + "odd",
                            StoreKeys.HOLDERS + "odd");
            for (String key : prefixes) {
                byte[] value = new byte[random.nextInt(40)];
                random.nextBytes(value);
                fleet.store.write(key, value);
            }
            takeOverAndFinish(fleet);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {false, true})
    void watchGoesOnAfterItsListenerHasFailed(boolean withError) {
        SimTime time = new SimTime();
        SimStore store = new SimStore(time, new Random(1));
        List<Integer> sizes = new ArrayList<>();
        PrefixWatcher watcher =
                new PrefixWatcher(
                        store.client(),
                        "p/",
                        new SimLoop(time),
                        entries -> {
                            sizes.add(entries.size());
                            if (entries.size() == 1) {
                                fail(withError);
                            }
                        });
        watcher.start();
        time.run(100);
        store.write("p/a", bytes("a"));
        time.run(100);
        store.write("p/b", bytes("b"));
        time.run(100);
        assertThat(sizes.get(sizes.size() - 1), is(2));
    }

    private static void fail(boolean withError) {
        if (withError) {
            throw new StackOverflowError();
        }
        throw new IllegalStateException("the listener fails");
    }

    private static void takeOverAndFinish(SimFleet fleet) {
        DaemonId former = fleet.holder().name;
        fleet.kill(former);
        fleet.time.run(15_000);
        assertThat(fleet.holder().name, is(not(former)));
        assertThat(fleet.accepted.size(), greaterThan(0));
        assertThat(fleet.unfinished(), empty());
        assertThat(fleet.checks.violations(), empty());
    }

    private static byte[] bytes(String text) {
        return text.getBytes(StandardCharsets.UTF_8);
    }
}
