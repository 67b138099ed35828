package org.crocusgrade.daemon.batch;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.crocusgrade.core.config.PoolPolicy;
import org.crocusgrade.core.config.QueueRoute;
import org.crocusgrade.core.config.QueueRoute.AdvicePolicy;
import org.crocusgrade.core.config.QueueTable;
import org.crocusgrade.core.customer.ApiKey;
import org.crocusgrade.core.customer.Customer;
import org.crocusgrade.core.customer.CustomerDirectory;
import org.crocusgrade.core.customer.ResourceCap;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.id.HostId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.maintenance.WaveRequest;
import org.crocusgrade.core.port.FormatException;
import org.crocusgrade.core.port.PlatformFormat;
import org.crocusgrade.core.port.StoreEntry;
import org.crocusgrade.core.port.WorkerEntry;
import org.crocusgrade.core.submission.Resources;
import org.crocusgrade.core.submission.StepSpec;
import org.crocusgrade.core.submission.SubmissionSpec;

/**
 * The format of the simulation's records: the start time of a worker and its processors as text,
 * with a third word if it drains; the number of tasks of a submission as one byte, negative if its
 * tasks may overlap, a configuration as its version and customers such as {@code 2 a=key} or {@code
 * 2 a=key=4}, with a cap of 4 cores (an entry without a number is version 1).
 */
final class SimFormat implements PlatformFormat {
    private static final AdvicePolicy ADVICE =
            new AdvicePolicy(SimAdvice.DECIDE, SimAdvice.PER_WORKER, SimAdvice.VALIDITY);

    /** Maximum number of hosts in maintenance at a time. */
    static final int WAVE_AT_ONCE = 1;

    /** Begins a configuration that cannot be decoded. */
    static final String MALFORMED = "malformed";

    /** The entry of a worker whose decoding needs more stack than there is. */
    static final String ENDLESS = "endless";

    /** A word of a configuration that has a standby pool. */
    static final String STANDBY = "standby";

    /** A word of a configuration without the queue. */
    static final String NO_QUEUE = "no-queue";

    static final String WAVE_PREFIX = "op/wave/";

    private static final Duration WAVE_TIME = Duration.ofSeconds(60);

    private final boolean advised;

    SimFormat(boolean advised) {
        this.advised = advised;
    }

    @Override
    public String workerPrefix() {
        return "servers/";
    }

    @Override
    public WorkerEntry worker(StoreEntry entry) throws FormatException {
        if (entry.text().equals(ENDLESS)) {
            throw new StackOverflowError();
        }
        String[] words = entry.text().split(" ");
        Resources capacity =
                new Resources(Long.parseLong(words[1]), SimFleet.CAPACITY.memoryMb(), 0);
        WorkerId worker = new WorkerId(entry.key().substring(workerPrefix().length()));
        return new WorkerEntry(
                worker,
                SimFleet.SERVICE,
                new InetSocketAddress("127.0.0.1", 8000),
                "zone",
                words.length > 2,
                Duration.ZERO,
                Long.parseLong(words[0]),
                List.of("a", "r1"),
                Optional.of("r1"),
                capacity,
                Optional.of(SimHosts.hostOf(worker)));
    }

    @Override
    public String operatorPrefix() {
        return "op/";
    }

    @Override
    public String configKey() {
        return "op/config";
    }

    @Override
    public QueueTable queues(StoreEntry entry) throws FormatException {
        if (entry.text().startsWith(MALFORMED)) {
            throw new FormatException("malformed");
        }
        String[] words = entry.text().trim().split(" ");
        long version = words[0].isEmpty() ? 1 : Long.parseLong(words[0]);
        QueueRoute route =
                new QueueRoute(
                        SimFleet.QUEUE,
                        "host",
                        "/q/",
                        SimFleet.SERVICE,
                        0,
                        3,
                        20,
                        Duration.ofSeconds(60),
                        Duration.ofSeconds(3),
                        advised ? Optional.of(ADVICE) : Optional.empty(),
                        false);
        PoolPolicy policy = new PoolPolicy(SimFleet.SERVICE, true, false);
        Map<ServiceId, PoolPolicy> pools = new HashMap<>();
        pools.put(SimFleet.SERVICE, policy);
        if (words[words.length - 1].equals(NO_QUEUE)) {
            return new QueueTable(version, List.of(), pools, CustomerDirectory.NONE);
        }
        if (words[words.length - 1].equals(STANDBY)) {
            pools.put(SimFleet.STANDBY, new PoolPolicy(SimFleet.STANDBY, true, true));
            return new QueueTable(version, List.of(route), pools, CustomerDirectory.NONE);
        }
        return new QueueTable(version, List.of(route), pools, customers(words));
    }

    private static CustomerDirectory customers(String[] words) {
        if (words.length == 1) {
            return CustomerDirectory.NONE;
        }
        List<Customer> customers = new ArrayList<>();
        for (String word : List.of(words).subList(1, words.length)) {
            String[] parts = word.split("=");
            Set<ApiKey> keys = Set.of(new ApiKey(parts[1]));
            long cores = parts.length > 2 ? Long.parseLong(parts[2]) : 0;
            ResourceCap cap = new ResourceCap(cores * 1000, 0, 0);
            customers.add(new Customer(new CustomerId(parts[0]), 1, cap, keys));
        }
        return CustomerDirectory.of(customers);
    }

    @Override
    public boolean isWave(String key) {
        return key.startsWith(WAVE_PREFIX);
    }

    @Override
    public WaveRequest wave(StoreEntry entry) {
        List<HostId> hosts = new ArrayList<>();
        for (String name : entry.text().split(",")) {
            hosts.add(new HostId(name));
        }
        int number = Integer.parseInt(entry.key().substring(WAVE_PREFIX.length()));
        return new WaveRequest(number, hosts, WAVE_TIME, WAVE_AT_ONCE);
    }

    @Override
    public String waveStatusKey(int wave) {
        return "status/" + wave;
    }

    @Override
    public byte[] waveStatus(boolean completed) {
        return new byte[0];
    }

    @Override
    public SubmissionSpec submission(byte[] body) {
        StepSpec step =
                new StepSpec(
                        Math.abs(body[0]),
                        new Resources(1000, 512, 0),
                        Duration.ofMillis(SimFleet.TASK_MILLIS),
                        List.of(),
                        false,
                        false,
                        Optional.empty(),
                        Optional.empty(),
                        body.length > 1 ? body[1] : 0,
                        body[0] < 0,
                        false,
                        body.length > 1,
                        Optional.empty(),
                        Optional.empty(),
                        false,
                        0);
        return new SubmissionSpec("payload", List.of(step), Optional.empty());
    }
}
