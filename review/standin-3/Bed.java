package bed;

import java.io.IOException;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;

/** The platform, the workers and the operator of a small deployment, on loopback addresses. */
final class Bed implements AutoCloseable {
    static final long HOLD_MAX_MS = 10_000;
    private static final long LIMIT_MILLIS = 115_000;
    private static final long BEGUN = System.nanoTime();

    /** Notified of what workers run. */
    interface Watcher {
        /** Returns whether an order gets no answer; the watcher then sees to it. */
        default boolean isHeld(Worker worker, Http.Request request) {
            return false;
        }

        default void onStart(Worker worker, String task, long run, String spec) {}

        default void onEnd(Worker worker, String task, long run, String how) {}

        default void onNoted(String task, long run, String how) {}
    }

    private final Path root;
    private final Path folder;
    private final PrintWriter record;
    private final Store store;
    private final Http.Server cloud;
    private final Map<String, Worker> workers = new ConcurrentHashMap<>();
    private final Map<String, String> states = new ConcurrentHashMap<>();
    private final Map<String, Long> cpus = new ConcurrentHashMap<>();
    private final List<Daemon> daemons = new ArrayList<>();
    private final int block;
    private Watcher watcher = new Watcher() {};
    private int nextWorker;

    Bed(Path out) throws Exception {
        root = Path.of("").toAbsolutePath();
        folder = Files.createTempDirectory("review-3-");
        record = new PrintWriter(Files.newBufferedWriter(out.resolve("record.txt")), true);
        // Daemons have an address each, of a block that other runs hardly use.
        block = (int) (ProcessHandle.current().pid() % 200) + 20;
        store = new Store(host());
        cloud = new Http.Server(new InetSocketAddress(host(), 0), this::cloud);
        Runtime.getRuntime().addShutdownHook(new Thread(this::end));
        Http.thread("limit", () -> {
            sleep(LIMIT_MILLIS);
            record("exit 2: not over after " + LIMIT_MILLIS + " ms");
            System.exit(2);
        });
    }

    /** Ends all processes that were started, and removes the temporary folder. */
    private void end() {
        daemons.forEach(Daemon::end);
        try (Stream<Path> files = Files.walk(folder)) {
            files.sorted(Comparator.reverseOrder()).forEach(f -> f.toFile().delete());
        } catch (IOException e) {
            record("the temporary folder is left: " + e);
        }
    }

    static double seconds() {
        return Math.round((System.nanoTime() - BEGUN) / 1e6) / 1e3;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    synchronized void record(String line) {
        record.println(String.format(Locale.ROOT, "%8.3f  %s", seconds(), line));
    }

    Path root() {
        return root;
    }

    Path folder() {
        return folder;
    }

    String host() {
        return "127.0." + block + ".1";
    }

    Store store() {
        return store;
    }

    List<Daemon> daemons() {
        return daemons;
    }

    void watch(Watcher next) {
        watcher = next;
    }

    /** Adds a daemon; it reads the store at the address given. */
    Daemon addDaemon(String zone, InetSocketAddress storeAddress) throws IOException {
        int number = daemons.size() + 1;
        Daemon daemon =
                new Daemon(this, "frontend-" + zone + "-" + number, zone, "127.0." + block + "." + (10 + number), storeAddress);
        daemons.add(daemon);
        return daemon;
    }

    List<String> runLine() {
        try {
            for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
                if (line.startsWith("run = \"")) {
                    return List.of(line.substring(7, line.length() - 1).split(" "));
                }
            }
        } catch (IOException e) {
            throw new IllegalStateException(e);
        }
        throw new IllegalStateException("the deploy file has no run line");
    }

    String settings(String name, String zone, String ip, InetSocketAddress frontend, InetSocketAddress storeAddress)
            throws IOException {
        int port = Http.freePort(ip);
        String[] lines = {
            "node_name=" + name,
            "role=crocusgraded",
            "machine_class=frontend",
            "serves=frontend",
            "ip=" + ip,
            "zone=" + zone,
            "region=west",
            "zones.a=west",
            "zones.b=west",
            "listen_addrs.frontend=" + text(frontend),
            "listen_addrs.readiness=" + ip + ":" + Http.freePort(ip),
            "internal_ports=" + port + "," + (port + 15),
            "seeds=",
            "bootstrap=true",
            "fault_counted=false",
            "limits.cpu_share=0.75",
            "limits.cores=1",
            "limits.memory_mb=430",
            "limits.max_fds=4100",
            "limits.link_mbps=1000.0",
            "limits.disk_mb=0",
            "discovery=platform",
            "entry=vip",
            "heartbeat_ms=1500",
            "contracts=base,drain,config,cost,recover,sched,platform,advice,upkeep,sharing",
            "fault_tolerance.machines=2",
            "fault_tolerance.zones=0",
            "fault_tolerance.regions=0",
            "bounds.seed_lag_s=3",
            "bounds.addr_reuse_s=2",
            "bounds.contact_ms=3000",
            "bounds.ack_ms=4000",
            "bounds.catch_up_s=4",
            "bounds.drain_ms=2000",
            "bounds.grace_s=6",
            "bounds.loss_slack_ms=200",
            "bounds.config_apply_ms=2000",
            "bounds.rollback_slack_ms=250",
            "bounds.max_stretch_ms=5000",
            "bounds.recovery_s=12",
            "bounds.hold_max_ms=" + HOLD_MAX_MS,
            "bounds.stop_timeout_ms=900",
            "bounds.gang_timeout_ms=3000",
            "bounds.cancel_ms=3000",
            "bounds.visible_ms=3000",
            "bounds.early_ms=250",
            "bounds.finish_s=14",
            "bounds.status_s=120",
            "bounds.remote_factor=2",
            "bounds.checkpoint_interval_s=0.5",
            "bounds.restore_ms=600",
            "bounds.notice_ms=4500",
            "bounds.migrate_s=1.5",
            "bounds.maintenance_s=2",
            "bounds.fencing_enforced=false",
            "bounds.lease_ms=3000",
            "bounds.thaw_slack_ms=300",
            "bounds.pace_ms=100",
            "bounds.impact_ms=4000",
            "orders=call",
            "platform.address=" + text(storeAddress),
            "platform.form=kv",
            "platform.writes_per_s=400",
            "platform.reads_per_s=2000",
            "platform.history_s=20",
            "platform.value_bytes=1048576",
            "platform.ttl_min_ms=1000",
            "cloud_api.address=" + text(cloud.address()),
            "cloud_api.rate_per_s=64.0",
            "cloud_api.duties=",
            "cloud_api.duty_per_s=64.0",
        };
        return String.join("\n", lines) + "\n";
    }

    static String text(InetSocketAddress address) {
        return address.getAddress().getHostAddress() + ":" + address.getPort();
    }

    /** Writes a configuration with the queues given, each with its service. */
    void configure(long version, Map<String, String> queues, List<String> services) {
        List<Object> routes = new ArrayList<>();
        queues.forEach((queue, service) -> routes.add(Json.map(
                "name", "r-" + queue, "host", "q.example", "prefix", "/" + queue + "/", "kind", "unsafe",
                "timeout_ms", 3000L, "target_duration_ms", 20_000L, "priority", 0L, "service", service,
                "max_attempts", 3L, "stretch", 2.0)));
        List<Object> pools = new ArrayList<>();
        services.forEach(s -> pools.add(Json.map(
                "name", s, "health_path", "/healthz", "max_conns", 64L, "protocol", "h1", "tls", false,
                "admission_check", true, "standby", false)));
        Map<String, Object> limits = Json.map(
                "max_header_bytes", 16384L, "max_body_bytes", 262144L, "header_timeout_ms", 3000L, "idle_timeout_ms", 15000L);
        store.put("op/config", Json.map("version", version, "routes", routes, "services", pools, "limits", limits));
        record("operator: configuration " + version + " is acknowledged, queues " + queues.keySet());
    }

    Worker addWorker(String machine, String service, long cpu) throws Exception {
        return addWorker(machine, service, "a", cpu);
    }

    Worker addWorker(String machine, String service, String kind, long cpu) throws Exception {
        String rack = "r1-" + (1 + Math.floorMod(machine.hashCode(), 3));
        Worker worker = new Worker(this, "i-" + machine + "-" + ++nextWorker, machine, service, "a", kind, rack, cpu);
        states.put(machine, "up");
        workers.put(machine, worker);
        return worker;
    }

    /** A machine loses power and stays down; the entry of its worker goes after three check-ins. */
    void loseForGood(Worker worker) throws IOException {
        states.put(worker.machine(), "down");
        worker.losePower();
        Http.thread("expiry", () -> {
            sleep(3 * 1500);
            store.remove("servers/" + worker.id());
        });
    }

    /** Takes a machine that is lost for good out of the platform's list. */
    void forget(Worker worker) {
        workers.remove(worker.machine());
    }

    /** Crashes a worker; its machine is down for a time, and comes back with a new worker. */
    void crash(Worker worker, long downMillis) {
        states.put(worker.machine(), "down");
        worker.crash();
        Http.thread("boot", () -> {
            sleep(downMillis);
            store.remove("servers/" + worker.id());
            try {
                Worker next = addWorker(worker.machine(), worker.service(), 16_000);
                record("machine " + worker.machine() + " is up again, worker " + next.id());
            } catch (Exception e) {
                record("machine " + worker.machine() + " cannot start: " + e);
            }
        });
    }

    private synchronized Http.Response cloud(Http.Request request) throws Exception {
        if (request.path().equals("/machines")) {
            List<Object> rows = new ArrayList<>();
            workers.values().forEach(w -> rows.add(w.machineJson(states.get(w.machine()))));
            return Http.Response.of(200, "machines", rows, "next_token", null);
        }
        // The machines of these deployments stay where they are: each is leaving or reserved.
        return Http.Response.of(409, "reason", "busy");
    }

    /** Sets the processors that the work items of a submission ask for. */
    void setCpu(String submission, long cpu) {
        cpus.put(submission, cpu);
    }

    long cpuOf(String task) {
        return cpus.getOrDefault(task.substring(0, task.indexOf('.')), 100L);
    }

    boolean isHeld(Worker worker, Http.Request request) {
        return watcher.isHeld(worker, request);
    }

    void onStart(Worker worker, String task, long run, String spec) {
        watcher.onStart(worker, task, run, spec);
    }

    void onEnd(Worker worker, String task, long run, String how) {
        watcher.onEnd(worker, task, run, how);
    }

    void onNoted(String task, long run, String how) {
        watcher.onNoted(task, run, how);
    }

    /** Returns what guards the state of all workers. */
    Object lock() {
        return this;
    }

    /** Starts a worker again under its name, on its machine. */
    Worker startAgain(Worker former) throws Exception {
        Worker next =
                new Worker(this, former.id(), former.machine(), former.service(), "a", former.kind(), former.rack(), 16_000);
        workers.put(former.machine(), next);
        return next;
    }

    List<Worker> workers() {
        return List.copyOf(workers.values());
    }

    Http.Response call(Daemon daemon, String method, String path, String body) {
        return Http.call(daemon.frontend(), method, "q.example", path, body, 3000);
    }

    /** Waits until each daemon answers calls for a queue. */
    boolean awaitService(String queue, long millis) {
        long end = System.nanoTime() + millis * 1_000_000;
        while (System.nanoTime() < end) {
            boolean all = true;
            for (Daemon daemon : daemons) {
                all &= call(daemon, "GET", "/" + queue + "/", "").isSuccess();
            }
            if (all) {
                return true;
            }
            sleep(200);
        }
        return false;
    }

    @Override
    public void close() {
        daemons.forEach(Daemon::end);
    }
}
