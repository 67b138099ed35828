package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import com.google.common.flogger.FluentLogger;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.function.Consumer;
import org.crocusgrade.core.id.BootId;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.QueueId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.submission.Resources;
import org.crocusgrade.core.submission.SubmissionId;
import org.crocusgrade.core.submission.SubmissionState;
import org.crocusgrade.daemon.batch.SubmissionCall.Operation;
import org.crocusgrade.daemon.batch.SubmissionReply.Outcome;
import org.crocusgrade.daemon.log.EventLog;
import org.crocusgrade.peer.PeerListener;
import org.crocusgrade.peer.proto.Envelope;
import org.crocusgrade.peer.proto.WorkerStatusMessage;

/** A simulated fleet of daemons, workers and a store, driven by a seed. */
final class SimFleet {
    private static final FluentLogger logger = FluentLogger.forEnclosingClass();
    static final ServiceId SERVICE = new ServiceId("quotes");
    static final QueueId QUEUE = new QueueId("quote");
    static final ServiceId STANDBY = new ServiceId("standby");
    static final CustomerId CUSTOMER = new CustomerId("sim");
    static final long TASK_MILLIS = 700;

    private static final int WORKERS = 4;
    private static final int DAEMONS = 3;
    static final Resources CAPACITY = new Resources(8000, 65_536, 0);

    final SimTime time = new SimTime();
    final Random random;
    private final boolean advised;
    private final PlatformLimits limits;
    private final Optional<CustomerId> customer;
    private final long taskMillis;
    final SimStore store;
    final SimChecks checks = new SimChecks(time);
    final Map<WorkerId, SimWorker> workers = new LinkedHashMap<>();
    final Map<DaemonId, Daemon> daemons = new LinkedHashMap<>();
    final SimHosts hosts = new SimHosts(time, checks, workers, this::register, this::join);
    final Map<SubmissionId, SubmissionState> accepted = new LinkedHashMap<>();
    private int boots;
    private int submissions;

    SimFleet(long seed) {
        this(seed, false);
    }

    /**
     * Starts a fleet and lets it settle.
     *
     * @param advised whether the policy of the queue allows only some workers
     */
    SimFleet(long seed, boolean advised) {
        this(seed, advised, WORKERS);
    }

    SimFleet(long seed, boolean advised, int workerCount) {
        this(seed, advised, workerCount, TestLimits.USUAL);
    }

    SimFleet(long seed, boolean advised, int workerCount, PlatformLimits limits) {
        this(seed, advised, workerCount, limits, Optional.empty(), 0, TASK_MILLIS);
    }

    /** Starts a fleet in which all submissions are of a customer with a cap, in cores. */
    static SimFleet withCap(long seed, int cores) {
        return new SimFleet(
                seed, false, WORKERS, TestLimits.USUAL, Optional.of(cores), 0, TASK_MILLIS);
    }

    /** Starts a fleet with hosts on standby, in which tasks run until they are stopped. */
    static SimFleet withStandbyHosts(long seed, int hosts) {
        return new SimFleet(seed, false, WORKERS, TestLimits.USUAL, Optional.empty(), hosts, 0);
    }

    /** Starts a fleet in which tasks run until they are stopped. */
    static SimFleet withEndlessTasks(long seed) {
        return new SimFleet(seed, false, WORKERS, TestLimits.USUAL, Optional.empty(), 0, 0);
    }

    /** Starts a fleet in which tasks take the given time. */
    static SimFleet withTaskMillis(long seed, long millis) {
        return new SimFleet(seed, false, WORKERS, TestLimits.USUAL, Optional.empty(), 0, millis);
    }

    private SimFleet(
            long seed,
            boolean advised,
            int workerCount,
            PlatformLimits limits,
            Optional<Integer> capCores,
            int standbyHosts,
            long taskMillis) {
        this.taskMillis = taskMillis;
        customer = capCores.map(c -> CUSTOMER);
        this.advised = advised;
        this.limits = limits;
        random = new Random(seed);
        store = new SimStore(time, random);
        checks.setOnRestart(this::register);
        for (int i = 0; i < workerCount; i++) {
            join("w" + i);
        }
        for (int i = 0; i < standbyHosts; i++) {
            hosts.addStandby("s" + i);
        }
        String config = standbyHosts > 0 ? "1 " + SimFormat.STANDBY : "1";
        store.write(
                "op/config",
                capCores.map(c -> "1 " + CUSTOMER + "=key=" + c)
                        .orElse(config)
                        .getBytes(StandardCharsets.UTF_8));
        for (int i = 0; i < DAEMONS; i++) {
            boot(new DaemonId("d" + i));
        }
        time.run(4000);
    }

    /** Writes a line to the log of the daemons. */
    void log(String text) {
        logger.atInfo().log("ts=%s %s", time.now(), text);
    }

    /** Starts a new worker, which registers. */
    SimWorker join(String name) {
        SimWorker worker = new SimWorker(name, time, checks, taskMillis, advised);
        workers.put(worker.id, worker);
        register(worker);
        return worker;
    }

    void register(SimWorker worker) {
        String text = worker.startedEpochMillis() + " " + worker.milliCores();
        store.write("servers/" + worker.id, text.getBytes(StandardCharsets.UTF_8));
    }

    /** Removes the entry of a worker that the store has not heard of for long. */
    void unregister(SimWorker worker) {
        store.remove("servers/" + worker.id);
    }

    /** Requests the maintenance of all hosts, as operators do. */
    void requestWave(int number) {
        List<String> names = new ArrayList<>();
        workers.keySet().forEach(w -> names.add(SimHosts.hostOf(w).value()));
        byte[] wave = String.join(",", names).getBytes(StandardCharsets.UTF_8);
        store.write(SimFormat.WAVE_PREFIX + number, wave);
    }

    /** Starts a daemon, for the first time or after its process was killed. */
    Daemon boot(DaemonId name) {
        Daemon daemon = new Daemon(name, new BootId("boot" + ++boots));
        daemons.put(name, daemon);
        daemon.node.start();
        return daemon;
    }

    void kill(DaemonId name) {
        daemons.get(name).loop.kill();
        daemons.get(name).killed = true;
    }

    Daemon holder() {
        return holder(Duty.pool(SERVICE));
    }

    Daemon holder(Duty duty) {
        for (Daemon daemon : daemons.values()) {
            Optional<DaemonId> holder = daemon.node.holder(duty).filter(daemons::containsKey);
            if (!daemon.killed && holder.isPresent()) {
                return daemons.get(holder.get());
            }
        }
        return daemons.values().iterator().next();
    }

    /** Returns whether a daemon that runs holds a duty. */
    boolean hasTakenOver(Duty duty) {
        return daemons.values().stream()
                .filter(d -> !d.killed)
                .anyMatch(d -> d.node.holder(duty).equals(Optional.of(d.name)));
    }

    SubmissionId nextId() {
        return new SubmissionId(String.format("%016x", ++submissions));
    }

    /** Submits some tasks through a random daemon; a caller without an answer retries. */
    SubmissionId submit(int tasks) {
        SubmissionId id = nextId();
        submit(id, tasks, 0);
        return id;
    }

    /** Submits some tasks of which two runs may overlap. */
    void submitSpeculative(int tasks) {
        SubmissionId id = nextId();
        checks.allowCopies(id);
        submit(id, -tasks, 0);
    }

    /** Submits a task that crashes each worker that starts it. */
    SubmissionId submitCrashing() {
        SubmissionId id = nextId();
        checks.setCrashing(id);
        submit(id, 1, 0);
        return id;
    }

    /** Submits long-running tasks of which a worker may run a limited number. */
    SubmissionId submitLongRunning(int tasks, int maxPerWorker) {
        SubmissionId id = nextId();
        byte[] body = {(byte) tasks, (byte) maxPerWorker};
        checks.attempted(id);
        daemons.values().iterator().next().call(Operation.SUBMIT, id, body, r -> {});
        return id;
    }

    /** Stops a worker for good, with its host. */
    void lose(SimWorker worker) {
        worker.crash();
        hosts.lose(worker.id);
        unregister(worker);
    }

    private void submit(SubmissionId id, int tasks, int attempt) {
        List<Daemon> alive = daemons.values().stream().filter(d -> !d.killed).toList();
        if (alive.isEmpty() || attempt > 4) {
            return;
        }
        Daemon daemon = alive.get(random.nextInt(alive.size()));
        checks.attempted(id);
        boolean[] answered = {false};
        daemon.call(
                Operation.SUBMIT,
                id,
                new byte[] {(byte) tasks},
                reply -> {
                    answered[0] = true;
                    if (reply.outcome() == Outcome.DONE) {
                        accepted.putIfAbsent(id, SubmissionState.QUEUED);
                    } else if (reply.outcome() == Outcome.REFUSED) {
                        checks.refused(id);
                    } else {
                        submit(id, tasks, attempt + 1);
                    }
                });
        time.afterMillis(
                3000,
                () -> {
                    if (!answered[0]) {
                        submit(id, tasks, attempt + 1);
                    }
                });
    }

    /**
     * Checks that an owner reports no fewer runs of a worker than the worker executes; returns the
     * number of reported workers.
     */
    int checkReportedRuns(Daemon daemon) {
        if (daemon.killed) {
            return 0;
        }
        int reported = 0;
        for (WorkerStatusMessage status : daemon.node.poolStatus(SERVICE)) {
            int runs = workers.get(new WorkerId(status.getWorker())).report().running().size();
            assertThat(time.millis() + " ms", status.getRunning(), greaterThanOrEqualTo(runs));
            reported++;
        }
        return reported;
    }

    /**
     * Requests the state of all accepted submissions; returns those that have not completed, or, if
     * their tasks crash workers, have not failed.
     */
    List<String> unfinished() {
        Daemon daemon = daemons.values().stream().filter(d -> !d.killed).findFirst().orElseThrow();
        List<String> open = new ArrayList<>();
        for (SubmissionId id : accepted.keySet()) {
            String[] reported = {"no answer"};
            daemon.call(
                    Operation.STATE,
                    id,
                    new byte[0],
                    r ->
                            reported[0] =
                                    r.outcome() == Outcome.DONE
                                            ? r.state().name()
                                            : r.outcome().name());
            time.run(100);
            SubmissionState expected =
                    checks.crashesWorkers(id) ? SubmissionState.FAILED : SubmissionState.COMPLETED;
            if (!reported[0].equals(expected.name())) {
                open.add(id + " is " + reported[0]);
            }
        }
        return open;
    }

    /** One daemon of the fleet. */
    final class Daemon {
        final DaemonId name;
        final SimLoop loop = new SimLoop(time);
        final SimStore.Client client = store.client();
        final SimOrders orders = new SimOrders(time, random, workers);
        final BatchNode node;
        private PeerListener listener;
        private Link link;
        private boolean killed;
        private boolean linksCut;

        Daemon(DaemonId name, BootId boot) {
            this.name = name;
            BatchRuntime runtime =
                    new BatchRuntime(
                            client,
                            orders,
                            hosts,
                            new SimAdvice(time, workers),
                            new SimFormat(advised),
                            time,
                            random,
                            loop,
                            new EventLog(time),
                            limits);
            InetSocketAddress address = new InetSocketAddress("127.0.0.1", 7000);
            node =
                    new BatchNode(
                            runtime,
                            new BatchNode.Identity(
                                    name, boot, "zone", address, 1000, Duration.ofMillis(500)),
                            (key, l) -> {
                                listener = l;
                                link = new Link(name, boot);
                                return link;
                            });
        }

        /** Makes the connections to other daemons drop all messages; new connections work. */
        void silenceLinks() {
            link.silent.addAll(daemons.keySet());
        }

        /**
         * Sets whether all messages to and from other daemons are dropped, on new connections too.
         */
        void cutLinks(boolean now) {
            linksCut = now;
        }

        void submit(SubmissionId id, Consumer<SubmissionReply> reply) {
            checks.attempted(id);
            call(Operation.SUBMIT, id, new byte[] {1}, reply);
        }

        void call(
                Operation operation,
                SubmissionId id,
                byte[] body,
                Consumer<SubmissionReply> reply) {
            call(operation, id, body, customer, reply);
        }

        void call(
                Operation operation,
                SubmissionId id,
                byte[] body,
                Optional<CustomerId> customer,
                Consumer<SubmissionReply> reply) {
            SubmissionCall call =
                    new SubmissionCall(
                            SERVICE, operation, QUEUE, customer, Optional.of(id), body, 1);
            loop.execute(
                    () ->
                            node.gateway()
                                    .ifPresentOrElse(
                                            g -> g.call(call, reply),
                                            () ->
                                                    reply.accept(
                                                            SubmissionReply.refused(
                                                                    Duration.ofSeconds(1),
                                                                    "starting"))));
        }
    }

    private final class Link extends SimLink {
        private final DaemonId self;
        private final BootId boot;
        private final Set<DaemonId> silent = new HashSet<>();

        Link(DaemonId self, BootId boot) {
            this.self = self;
            this.boot = boot;
        }

        @Override
        public void reconnect(DaemonId peer) {
            silent.remove(peer);
        }

        @Override
        public void send(DaemonId to, Envelope message) {
            if (silent.contains(to)) {
                return;
            }
            time.afterMillis(
                    1,
                    () -> {
                        Daemon peer = daemons.get(to);
                        Daemon own = daemons.get(self);
                        boolean cut = own.linksCut || peer != null && peer.linksCut;
                        if (!cut && peer != null && !peer.killed && peer.listener != null) {
                            peer.listener.onMessage(self, boot, message);
                        }
                    });
        }
    }
}
