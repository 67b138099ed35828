package org.crocusgrade.core.config;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.equalTo;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.PublishId;
import org.crocusgrade.core.id.ServiceId;
import org.junit.jupiter.api.Test;

/**
 * Tests that the distribution tree reaches every daemon of a zone exactly once, and that a replica
 * never reverts to an older version.
 */
class ConfigDistributionTest {
    @Property(tries = 200, seed = "3")
    void treeReachesEachDaemonOfTheZoneOnce(
            @ForAll @IntRange(min = 1, max = 60) int size,
            @ForAll @IntRange(min = 1, max = 60) int fanOut,
            @ForAll @IntRange(min = 0, max = 59) int root) {
        Map<DaemonId, AvailabilityZone> members = new HashMap<>();
        for (int i = 0; i < size; i++) {
            members.put(new DaemonId("a" + i), new AvailabilityZone("a"));
            members.put(new DaemonId("b" + i), new AvailabilityZone("b"));
        }
        DistributionTree tree = new DistributionTree(members, fanOut);
        DaemonId lowest = members.keySet().stream().sorted().findFirst().orElseThrow();
        assertThat(tree.watcher(new AvailabilityZone("a")).orElseThrow(), is(lowest));
        DaemonId rootId = new DaemonId("a" + root % size);
        List<DaemonId> reached = new ArrayList<>(List.of(rootId));
        Deque<DaemonId> pending = new ArrayDeque<>(reached);
        while (!pending.isEmpty() && reached.size() <= 2 * size) {
            List<DaemonId> children = tree.children(pending.remove(), rootId);
            assertThat(children.size() <= fanOut, is(true));
            reached.addAll(children);
            pending.addAll(children);
        }
        assertThat(reached.size(), is(size));
        assertThat(new HashSet<>(reached).size(), is(size));
        assertThat(reached.stream().allMatch(d -> d.value().startsWith("a")), is(true));
    }

    /**
     * The heads and files of ten versions arrive in random order; a file may be lost or duplicated.
     * Guards against a delayed update that replaces a newer version.
     */
    @Property(tries = 100, seed = "5")
    void replicaVersionNeverDecreases(@ForAll @IntRange(min = 0, max = 100_000) int seed)
            throws Exception {
        Random random = new Random(seed);
        List<ConfigBundle> versions = versions(10);
        List<Runnable> arrivals = new ArrayList<>();
        ConfigReplica replica = new ConfigReplica();
        for (ConfigBundle version : versions) {
            List<String> files =
                    new ArrayList<>(version.filesMissingFrom(ConfigHead.NONE).values());
            for (String file : files) {
                for (int i = random.nextInt(3); i > 0; i--) {
                    arrivals.add(() -> offer(replica, version.head(), List.of(file, "junk")));
                }
            }
            arrivals.add(() -> replica.apply(version));
        }
        Collections.shuffle(arrivals, random);
        long last = 0;
        for (Runnable arrival : arrivals) {
            arrival.run();
            long now = replica.current().head().version().value();
            assertThat(now >= last, is(true));
            last = now;
        }
        assertThat(last, is(10L));
    }

    @Test
    void alteredFileIsNotAccepted() throws Exception {
        ConfigBundle version = versions(1).get(0);
        ConfigReplica replica = new ConfigReplica();
        List<String> altered =
                version.filesMissingFrom(ConfigHead.NONE).values().stream()
                        .map(text -> text.replace("prompt", "must-finish"))
                        .toList();
        assertThat(replica.apply(version.head(), altered), is(ConfigReplica.Result.INCOMPLETE));
        assertThat(
                replica.missingFileIds(), equalTo(Set.copyOf(version.head().services().values())));
        assertThat(replica.current(), is(ConfigBundle.EMPTY));
    }

    private static void offer(ConfigReplica replica, ConfigHead head, List<String> files) {
        try {
            replica.apply(head, files);
        } catch (ConfigException e) {
            throw new AssertionError(e);
        }
    }

    private static List<ConfigBundle> versions(int count) throws ConfigException {
        List<ConfigBundle> versions = new ArrayList<>();
        ConfigBundle last = ConfigBundle.EMPTY;
        for (int i = 0; i < count; i++) {
            Map<ServiceId, BlobId> services = new HashMap<>(last.head().services());
            Map<BlobId, String> files = new HashMap<>();
            for (String name :
                    i == 0 ? List.of("a", "b", "c") : List.of("abc".substring(i % 3, i % 3 + 1))) {
                String text = ServiceFileSamples.service(name, i);
                files.put(BlobId.of(text), text);
                services.put(new ServiceId(name), BlobId.of(text));
            }
            ConfigHead head = last.head().next(new PublishId("p" + i), Instant.EPOCH, services);
            last = ConfigBundle.assemble(head, files, last);
            versions.add(last);
        }
        return versions;
    }
}
