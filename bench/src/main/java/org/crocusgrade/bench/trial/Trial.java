package org.crocusgrade.bench.trial;

import io.smallrye.mutiny.Uni;
import io.vertx.core.VertxOptions;
import io.vertx.mutiny.core.Vertx;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import org.crocusgrade.bench.guarantee.CheckResult;
import org.crocusgrade.bench.guarantee.Guarantee;
import org.crocusgrade.bench.guarantee.Observations;
import org.crocusgrade.core.config.ConfigBundle;
import org.crocusgrade.core.config.ConfigChange;
import org.crocusgrade.core.config.ConfigException;
import org.crocusgrade.core.config.Publisher;
import org.crocusgrade.core.config.ServiceConfig;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.PublishId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.port.HostEntry;
import org.crocusgrade.daemon.Daemon;
import org.crocusgrade.daemon.platform.HttpKeyValueStore;
import org.crocusgrade.standin.StandinFleet;
import org.crocusgrade.standin.load.CallRecord;
import org.crocusgrade.standin.load.CallerLoad;
import org.crocusgrade.standin.load.PeakSchedule;
import org.crocusgrade.standin.load.QueueLoad;
import org.crocusgrade.standin.worker.Receipt;

/**
 * Runs a fleet with its callers end to end in this process on loopback, and checks the guarantees.
 *
 * <p>The stand-ins start first, then the sample files are published the way an operator publishes,
 * then the daemons start. While the queues' demand peaks in turns, a configuration is published
 * midway, a worker leaves, and one daemon is stopped gracefully if there are at least two.
 */
public final class Trial {
    private static final Duration READY_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration PUBLISH_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration STORE_TIMEOUT = Duration.ofSeconds(2);
    private static final Duration CLOSE_TIMEOUT = Duration.ofSeconds(20);
    private static final Duration PROGRESS_PERIOD = Duration.ofSeconds(1);
    private static final Duration POLL = Duration.ofMillis(50);
    private static final Duration SHORTEST_TURN = Duration.ofSeconds(3);
    private static final Duration LONGEST_TURN = Duration.ofSeconds(6);
    private static final Duration LEAVING_BOUND = EmbeddedPlatform.LAG.plusSeconds(3);
    private static final Duration ROLLOUT_BOUND = Duration.ofSeconds(11);
    private static final int EVENT_LOOPS = 2;

    /** When the events of a trial happen, as fractions of its length. */
    private static final double PROBES_AT = 0.45;

    private static final double PUBLISH_AT = 0.5;
    private static final double LEAVE_AT = 0.55;
    private static final double STOP_AT = 0.75;
    private static final String KEY_NOT_REQUIRED = "key-required = no";
    private static final String KEY_REQUIRED = "key-required = yes";

    private final TrialPlan plan;
    private final Consumer<String> progress;
    private final Clock clock = Clock.system();
    private final Vertx vertx;
    private final List<Observations.PlannedStop> stops = new ArrayList<>();
    private EmbeddedPlatform platform;
    private EmbeddedDaemons daemons;
    private Balancer balancer;
    private HttpKeyValueStore store;
    private ConfigBundle published;
    private Instant publishedAt;

    /** Creates a trial; progress receives a line a second and one for each event. */
    public Trial(TrialPlan plan, Consumer<String> progress) {
        this.plan = plan;
        this.progress = progress;
        this.vertx = Vertx.vertx(new VertxOptions().setEventLoopPoolSize(EVENT_LOOPS));
    }

    /** Runs the trial and closes everything that it started. */
    public TrialReport run() throws TrialException {
        try {
            start();
            return runLoad();
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new TrialException("interrupted during the trial", e);
        } finally {
            close();
        }
    }

    private void start() throws TrialException, InterruptedException {
        Deployment deployment = plan.deployment();
        platform = new EmbeddedPlatform(vertx, clock, deployment.fleet(), plan.seed());
        store = new HttpKeyValueStore(vertx, platform.serviceAddress(), STORE_TIMEOUT);
        publish(deployment.samples());
        progress.accept("published " + deployment.samples().size() + " files");
        daemons =
                new EmbeddedDaemons(
                        platform, deployment.region(), deployment.fleet().zones(), plan.daemons());
        balancer = new Balancer(vertx);
        daemons.all().forEach(daemon -> balancer.add(daemon.callers(), daemon.operators()));
        balancer.start();
        await("daemons to get ready", () -> balancer.ready().size() == plan.daemons());
        int workers = deployment.fleet().workers();
        await("workers to get pools", () -> history().workers() == workers);
        progress.accept(plan.daemons() + " daemons ready, " + workers + " workers in pools");
    }

    private TrialReport runLoad() throws TrialException, InterruptedException {
        List<QueueLoad> loads = plan.deployment().loads();
        PeakSchedule schedule =
                new PeakSchedule(
                        loads.size(), plan.length(), SHORTEST_TURN, LONGEST_TURN, plan.seed());
        CallerLoad load =
                new CallerLoad(
                        vertx, clock, balancer::ready, loads, schedule, plan.length(), plan.seed());
        ConfigProbes probes =
                new ConfigProbes(vertx, clock, plan.deployment().spare(), balancer::ready);
        Instant begin = clock.now();
        CompletableFuture<List<CallRecord>> calls = load.run().subscribeAsCompletionStage();
        runSchedule(begin, load, loads, schedule, probes);
        while (!calls.isDone()) {
            Thread.sleep(POLL.toMillis());
        }
        probes.stop();
        awaitIdleWorkers();
        TrialReport report = report(calls.join(), begin, probes);
        probes.close();
        return report;
    }

    private void runSchedule(
            Instant begin,
            CallerLoad load,
            List<QueueLoad> loads,
            PeakSchedule schedule,
            ConfigProbes probes)
            throws TrialException, InterruptedException {
        Instant nextLine = begin;
        boolean probing = false;
        boolean leaving = false;
        boolean stopped = false;
        while (true) {
            Duration since = Duration.between(begin, clock.now());
            if (since.compareTo(plan.length()) >= 0) {
                return;
            }
            if (!clock.now().isBefore(nextLine)) {
                nextLine = nextLine.plus(PROGRESS_PERIOD);
                progress.accept(progressLine(since, load, loads, schedule, begin));
            }
            if (!probing && since.compareTo(plan.offset(PROBES_AT)) >= 0) {
                probing = true;
                probes.start();
            }
            if (publishedAt == null && since.compareTo(plan.offset(PUBLISH_AT)) >= 0) {
                publishMidway();
            }
            if (!leaving && since.compareTo(plan.offset(LEAVE_AT)) >= 0) {
                leaving = true;
                WorkerId worker = StandinFleet.Spec.worker(0);
                platform.hosts().setHostState(worker, HostEntry.State.LEAVING);
                progress.accept(worker + " leaves");
            }
            if (!stopped && since.compareTo(plan.offset(STOP_AT)) >= 0) {
                stopped = true;
                stopLastDaemon();
            }
            Thread.sleep(POLL.toMillis());
        }
    }

    private String progressLine(
            Duration since,
            CallerLoad load,
            List<QueueLoad> loads,
            PeakSchedule schedule,
            Instant begin) {
        return String.format(
                "%3d s  sent %d, in flight %d, host moves %d, peak: %s",
                since.toSeconds(),
                load.sent(),
                load.pending(),
                history().moves(begin),
                loads.get(schedule.peakQueue(since)).service());
    }

    private void publishMidway() throws TrialException {
        Map<String, String> texts = plan.deployment().samples();
        Map<String, String> changed = new HashMap<>();
        texts.forEach(
                (name, text) -> {
                    if (name.endsWith("/" + plan.deployment().spare() + ".ini")) {
                        changed.put(name, text.replace(KEY_NOT_REQUIRED, KEY_REQUIRED));
                    }
                });
        Instant at = clock.now();
        publish(changed);
        publishedAt = at;
        progress.accept("published: " + plan.deployment().spare() + " now requires keys");
    }

    private void publish(Map<String, String> texts) throws TrialException {
        try {
            Publisher publisher = new Publisher(store, clock);
            ConfigBundle base = publisher.current().await().atMost(PUBLISH_TIMEOUT);
            ConfigChange change = ConfigChange.of(texts, Set.of());
            String id = UUID.randomUUID().toString();
            Uni<Publisher.Result> publish =
                    publisher.publish(new PublishId(id), change, base.head());
            publish.await().atMost(PUBLISH_TIMEOUT);
            published = publisher.current().await().atMost(PUBLISH_TIMEOUT);
        } catch (ConfigException | RuntimeException e) {
            throw new TrialException("the sample files could not be published", e);
        }
    }

    private void stopLastDaemon() {
        if (plan.daemons() < 2) {
            return;
        }
        Daemon daemon = daemons.all().get(plan.daemons() - 1);
        InetSocketAddress callers = daemon.callers();
        Instant start = clock.now();
        Thread stopper =
                new Thread(
                        () -> {
                            daemons.stop(daemon);
                            recordPlannedStop(
                                    new Observations.PlannedStop(callers, start, clock.now()));
                        },
                        "stopper");
        stopper.start();
        progress.accept("planned stop of the daemon at " + callers);
    }

    private synchronized void recordPlannedStop(Observations.PlannedStop stop) {
        stops.add(stop);
    }

    private synchronized List<Observations.PlannedStop> stops() {
        return List.copyOf(stops);
    }

    private void awaitIdleWorkers() throws InterruptedException {
        long end = clock.nanoTime() + READY_TIMEOUT.toNanos();
        while (runningRequests() > 0 && clock.nanoTime() - end < 0) {
            Thread.sleep(POLL.toMillis());
        }
    }

    private long runningRequests() {
        return platform.fleet().receipts().stream()
                .filter(receipt -> receipt.ending() == Receipt.Ending.RUNNING)
                .count();
    }

    private TrialReport report(List<CallRecord> calls, Instant begin, ConfigProbes probes) {
        FleetHistory history = history();
        List<Receipt> receipts = platform.fleet().receipts();
        Observations.Rollout rollout = new Observations.Rollout(publishedAt, probes.probes());
        Observations observations =
                new Observations(
                        calls,
                        receipts,
                        platform.hosts().events(),
                        history.writes(),
                        budgets(),
                        List.of(rollout),
                        stops(),
                        LEAVING_BOUND,
                        ROLLOUT_BOUND);
        List<CheckResult> results = new ArrayList<>();
        Guarantee.all().forEach(guarantee -> results.add(guarantee.check(observations)));
        PoolId spare = published.fleet().service(plan.deployment().spare()).get().pool();
        double idle = history.idleWorkers(receipts, spare, begin, begin.plus(plan.length()));
        return new TrialReport(calls, history.moves(begin), idle, rollout.duration(), results);
    }

    private Map<PoolId, Integer> budgets() {
        Map<PoolId, Integer> budgets = new HashMap<>();
        for (ServiceConfig service : published.fleet().services().values()) {
            budgets.put(service.pool(), service.budget().maxUnavailable());
        }
        return budgets;
    }

    private FleetHistory history() {
        return new FleetHistory(platform.service().history(FleetHistory.PREFIX));
    }

    private void await(String what, BooleanSupplier condition)
            throws TrialException, InterruptedException {
        long end = clock.nanoTime() + READY_TIMEOUT.toNanos();
        while (!condition.getAsBoolean()) {
            if (clock.nanoTime() - end >= 0) {
                throw new TrialException("timed out waiting for " + what);
            }
            Thread.sleep(POLL.toMillis());
        }
    }

    private void close() {
        if (balancer != null) {
            balancer.stop();
        }
        if (daemons != null) {
            daemons.close();
        }
        if (store != null) {
            store.close();
        }
        if (platform != null) {
            platform.stop();
        }
        vertx.close().await().atMost(CLOSE_TIMEOUT);
    }
}
