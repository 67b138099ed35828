package org.crocusgrade.bench.experiment;

import java.net.InetSocketAddress;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.crocusgrade.core.config.BlobId;
import org.crocusgrade.core.config.ConfigBundle;
import org.crocusgrade.core.config.ConfigChange;
import org.crocusgrade.core.config.ConfigException;
import org.crocusgrade.core.config.ConfigHead;
import org.crocusgrade.core.config.ConfigHeadCodec;
import org.crocusgrade.core.fleet.RackCodec;
import org.crocusgrade.core.fleet.RackRecord;
import org.crocusgrade.core.fleet.WorkerRecord;
import org.crocusgrade.core.fleet.WorkerState;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.Epoch;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.PublishId;
import org.crocusgrade.core.id.RackId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.standin.StandinFleet;
import org.crocusgrade.standin.hosts.HostJson;

/**
 * Computes the size of the stored control records, by the number of services. The head of the
 * configuration with a full history is compared with a single value that holds the whole
 * configuration.
 */
final class StateSizeExperiment implements Experiment {
    private static final List<Integer> SIZES = List.of(5, 20, 40, 80);
    private static final int WORKERS = 460;

    @Override
    public String name() {
        return "state-size";
    }

    @Override
    public String summary() {
        return "size of the stored control records; baseline: a configuration in a single value";
    }

    @Override
    public ExperimentTable run(long seed, Consumer<String> progress) throws ExperimentException {
        ExperimentTable table =
                new ExperimentTable(
                        name(),
                        List.of(
                                "services",
                                "head bytes",
                                "all in one bytes",
                                "bytes for one change",
                                "rack record bytes",
                                "host entry bytes"));
        for (int size : SIZES) {
            progress.accept(size + " services");
            table.add(measure(size));
        }
        return table;
    }

    private static List<Double> measure(int services) throws ExperimentException {
        Map<String, String> files = PoolFiles.of(services, WORKERS);
        try {
            ConfigBundle bundle =
                    ConfigHistory.bundleWithFullHistory(ConfigChange.of(files, java.util.Set.of()));
            int head = ConfigHeadCodec.write(bundle.head()).length;
            int all = files.values().stream().mapToInt(String::length).sum();
            int file = files.values().iterator().next().length();
            return List.of(
                    (double) services,
                    (double) head,
                    (double) all,
                    (double) head + file,
                    (double) rackBytes(),
                    (double) hostBytes());
        } catch (ConfigException e) {
            throw new ExperimentException(
                    "could not assemble the generated services into a configuration", e);
        }
    }

    private static int rackBytes() {
        List<WorkerRecord> workers = new ArrayList<>();
        PoolId pool = new PoolId(PoolFiles.name(0));
        for (int i = 0; i < StandinFleet.WORKERS_PER_RACK; i++) {
            workers.add(
                    new WorkerRecord(StandinFleet.Spec.worker(i), pool, pool, WorkerState.SERVING));
        }
        RackRecord rack =
                new RackRecord(
                        new RackId("rack-001"),
                        new AvailabilityZone("zone-1"),
                        Optional.of(new DaemonId("entry-100")),
                        Optional.of(new BootId("0123456789abcdef")),
                        new Epoch(1000),
                        workers);
        return RackCodec.encode(rack).length;
    }

    private static int hostBytes() {
        StandinFleet.Spec spec =
                new StandinFleet.Spec(List.of(new AvailabilityZone("zone-1")), 1, 32, 1L << 37);
        InetSocketAddress address = new InetSocketAddress("127.0.0.1", 7500);
        return HostJson.toJson(spec.host(0, address)).encode().length() + 1;
    }

    /** Generates bundles whose head has a full history. */
    private static final class ConfigHistory {
        private static ConfigBundle bundleWithFullHistory(ConfigChange change)
                throws ConfigException {
            Map<ServiceId, BlobId> services = change.applyTo(ConfigHead.NONE);
            ConfigHead head = ConfigHead.NONE;
            for (int i = 0; i < ConfigHead.HISTORY; i++) {
                PublishId id = new PublishId("00000000-0000-4000-8000-" + (100000000000L + i));
                head = head.next(id, Instant.EPOCH, i == 0 ? Map.of() : services);
            }
            return ConfigBundle.assemble(head, change.files(), ConfigBundle.EMPTY);
        }
    }
}
