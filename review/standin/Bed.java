import com.sun.net.httpserver.HttpExchange;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintWriter;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A small deployment: the store and the machines' service in this process, each worker and each
 * daemon as a process of its own. All addresses are loopback addresses.
 */
final class Bed implements AutoCloseable {
    static final String IP = "127.0.0.1";
    static final String HOST = "callers.example";
    static final String PREFIX = "/jobs/";
    static final long HOLD_MAX = 10_000;

    /** A start or an end of a run, as a worker has printed it. */
    record Seen(long millis, String worker, String what, String task, long run, String detail) {}

    /** A case: returns 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
    interface Case {
        int play(Bed bed, boolean trouble) throws Exception;
    }

    private final Path root;
    private final PrintWriter record;
    private final long startMillis = System.currentTimeMillis();
    private final Path temporary;
    private final List<Process> processes = new CopyOnWriteArrayList<>();
    private final Map<String, WorkerHandle> workers = new TreeMap<>();
    private final List<DaemonHandle> daemons = new ArrayList<>();
    final List<Seen> seen = new CopyOnWriteArrayList<>();
    final Store store = new Store();
    boolean proxied;
    long holdMillis;
    final AtomicInteger startsToHold = new AtomicInteger();
    volatile WorkerHandle heldAt;
    final int storePort;
    private final int cloudPort;
    private final int beatPort;
    private final String run;

    Bed(Path folder) throws IOException {
        root = Path.of("").toAbsolutePath();
        record =
                new PrintWriter(
                        Files.newBufferedWriter(folder.resolve("record.txt")), true);
        temporary = Files.createTempDirectory("review");
        storePort = Http.freePort(IP);
        store.start(IP, storePort);
        cloudPort = Http.freePort(IP);
        Http.serve(IP, cloudPort, this::cloud);
        beatPort = Http.freePort(IP);
        Http.serve(IP, beatPort, this::beat);
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        Matcher matcher = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!matcher.find()) {
            throw new IOException("no run line in deploy/system.toml");
        }
        run = matcher.group(1);
        Runtime.getRuntime().addShutdownHook(new Thread(this::close));
    }

    /** Plays a case, with its disruption unless {@code TROUBLE} is 0, and ends the process. */
    static void main(String[] args, Case played) {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        try (Bed bed = new Bed(Path.of(args[0]))) {
            try {
                result = played.play(bed, trouble);
            } catch (Throwable e) {
                bed.log("the case could not run: " + e);
            }
            bed.log("exit " + result);
        } catch (IOException e) {
            System.err.println(e.getMessage());
        }
        System.exit(result);
    }

    synchronized void log(String text) {
        record.printf("%8.3f %s%n", (System.currentTimeMillis() - startMillis) / 1000.0, text);
    }

    long millis() {
        return System.currentTimeMillis() - startMillis;
    }

    static void sleep(long millis) {
        try {
            Thread.sleep(Math.max(0, millis));
        } catch (InterruptedException e) {
            throw new IllegalStateException(e);
        }
    }

    // The operator.

    void configure(int version, int maxAttempts, String... services) {
        List<Object> routes = new ArrayList<>();
        List<Object> pools = new ArrayList<>();
        for (String service : services) {
            String prefix = services.length == 1 ? PREFIX : PREFIX + service + "/";
            routes.add(
                    Json.object(
                            "name", "r-" + service, "host", HOST, "prefix", prefix, "kind",
                            "unsafe", "timeout_ms", 3000, "target_duration_ms", 600, "priority",
                            0, "service", service, "max_attempts", maxAttempts, "stretch", 1.6));
            pools.add(Json.object("name", service, "admission_check", true));
        }
        Map<String, Object> config =
                Json.object(
                        "version", version, "routes", routes, "services", pools, "limits",
                        Json.object());
        store.put("op/config", Json.write(config).getBytes(StandardCharsets.UTF_8));
    }

    // Workers.

    /** One machine and its worker, which keeps its name when it starts again. */
    final class WorkerHandle {
        final String id;
        private final String service;
        private final String kind;
        private final String rack;
        private final int cpu;
        private final int port;
        private final int ownPort;
        private volatile Process process;

        WorkerHandle(String id, String service, String kind, String rack, int cpu)
                throws IOException {
            this.id = id;
            this.service = service;
            this.kind = kind;
            this.rack = rack;
            this.cpu = cpu;
            ownPort = Http.freePort(IP);
            port = proxied ? Http.freePort(IP) : ownPort;
            if (proxied) {
                Http.serve(IP, port, this::forward);
            }
        }

        /** Passes a call on to the worker; a start may be held and passed on late. */
        private Http.Answer forward(
                String method, String path, HttpExchange exchange, String body) {
            String instance = exchange.getRequestHeaders().getFirst("Expect-Instance");
            if (path.equals("/run-start") && startsToHold.getAndUpdate(n -> Math.max(0, n - 1)) > 0) {
                log("worker " + id + ": a start is not answered: " + body);
                heldAt = this;
                Thread late =
                        new Thread(
                                () -> {
                                    sleep(holdMillis);
                                    Http.Answer answer = pass(method, path, instance, body);
                                    log(
                                            "worker " + id + ": the start is carried out late: "
                                                    + body + " -> " + answer.status() + " "
                                                    + answer.body());
                                });
                late.setDaemon(true);
                late.start();
                sleep(3000);
                return null;
            }
            Http.Answer answer = pass(method, path, instance, body);
            return answer.status() == 0 ? null : answer;
        }

        private Http.Answer pass(String method, String path, String instance, String body) {
            String host = "worker\r\nExpect-Instance: " + instance;
            return Http.call(IP, ownPort, host, method, path, body, 4000);
        }

        void start() throws IOException {
            log("worker " + id + " starts");
            process =
                    spawn(
                            "worker-" + id,
                            Map.of(),
                            "java", "-Xmx32m", "-Xss256k", "-XX:+UseSerialGC",
                            "-XX:TieredStopAtLevel=1", "-Dsun.net.httpserver.nodelay=true", "-cp",
                            System.getProperty("java.class.path"), "Worker", "id=" + id,
                            "service=" + service, "ip=" + IP, "port=" + ownPort, "address=" + IP + ":" + port,
                            "beats=" + beatPort,
                            "zone=z1", "kind=" + kind, "rack=" + rack, "cpu=" + cpu,
                            "mem=65536", "machine=m-" + id, "hold_max=" + HOLD_MAX);
            Process started = process;
            Thread reader = new Thread(() -> read(started));
            reader.setDaemon(true);
            reader.start();
        }

        private void read(Process started) {
            try (BufferedReader lines =
                    new BufferedReader(new InputStreamReader(started.getInputStream()))) {
                String line;
                while ((line = lines.readLine()) != null) {
                    String[] parts = line.split(" ");
                    if (parts.length < 5) {
                        continue;
                    }
                    seen.add(
                            new Seen(
                                    Long.parseLong(parts[0]) - startMillis,
                                    id,
                                    parts[1],
                                    parts[2],
                                    Long.parseLong(parts[3]),
                                    parts[4]));
                    log("worker " + id + ": " + line);
                }
            } catch (IOException e) {
                log("worker " + id + ": output ends");
            }
        }

        void kill() {
            log("worker " + id + " is killed");
            process.destroyForcibly();
        }

        boolean isUp() {
            return process != null && process.isAlive();
        }
    }

    WorkerHandle worker(String id, String service, String kind, String rack, int cpu)
            throws IOException {
        WorkerHandle handle = new WorkerHandle(id, service, kind, rack, cpu);
        workers.put(id, handle);
        handle.start();
        return handle;
    }

    private Http.Answer beat(String method, String path, HttpExchange exchange, String body) {
        store.beat(
                "servers/" + path.substring("/beat/".length()),
                body.getBytes(StandardCharsets.UTF_8));
        return Http.answer(200, Json.object());
    }

    private Http.Answer cloud(String method, String path, HttpExchange exchange, String body) {
        if (!path.equals("/machines")) {
            log("machines' service: " + method + " " + path + " " + body);
            return Http.answer(400, Json.object());
        }
        List<Object> machines = new ArrayList<>();
        for (WorkerHandle worker : workers.values()) {
            machines.add(
                    Json.object(
                            "machine", "m-" + worker.id, "pool", worker.service, "state",
                            worker.isUp() ? "up" : "down", "zone", "z1", "labels",
                            List.of(worker.kind, worker.rack), "capacity",
                            Json.object("cpu", worker.cpu, "mem_mb", 65536, "gpu", 0), "id",
                            worker.isUp() ? worker.id : ""));
        }
        return Http.answer(200, Json.object("machines", machines, "next_token", null));
    }

    // Daemons.

    /** One daemon, started by the run line of the deploy file. */
    final class DaemonHandle {
        final String name;
        final int port;
        private final int readiness;
        private final int internal;
        private final String ip;
        private volatile Process process;

        DaemonHandle(int number) throws IOException {
            name = "frontend-z1-" + number;
            ip = "127.0." + (1 + ProcessHandle.current().pid() % 250) + "." + (10 + number);
            port = Http.freePort(ip);
            internal = Http.freePort(ip);
            readiness = Http.freePort(ip);
        }

        String ip() {
            return ip;
        }

        void start(boolean first) throws IOException {
            Path settings = temporary.resolve(name + ".conf");
            Files.writeString(settings, settings(first));
            log("daemon " + name + " starts");
            process =
                    spawn(
                            name,
                            Map.of("CROCUSGRADE_NODE_FILE", settings.toString()),
                            run.split(" "));
            Process started = process;
            Thread reader = new Thread(() -> read(started));
            reader.setDaemon(true);
            reader.start();
        }

        private void read(Process started) {
            try (BufferedReader lines =
                    new BufferedReader(new InputStreamReader(started.getInputStream()))) {
                String line;
                while ((line = lines.readLine()) != null) {
                    if (!line.startsWith("\tat ")) {
                        log(name + ": " + line);
                    }
                }
            } catch (IOException e) {
                log(name + ": output ends");
            }
        }

        void kill() {
            log("daemon " + name + " is killed");
            process.destroyForcibly();
        }

        void terminate() {
            log("daemon " + name + " gets SIGTERM");
            process.destroy();
        }

        boolean isUp() {
            return process != null && process.isAlive();
        }

        boolean waitForEnd(long millis) throws InterruptedException {
            return process.waitFor(millis, TimeUnit.MILLISECONDS);
        }

        boolean isReady() {
            return Http.call(ip, readiness, "ready", "GET", "/readyz", "", 1000).status() == 200;
        }

        private String settings(boolean first) {
            return String.join(
                    "\n",
                    "node_name=" + name,
                    "role=crocusgraded",
                    "machine_class=frontend",
                    "serves=frontend",
                    "ip=" + ip,
                    "zone=z1",
                    "region=r1",
                    "zones.z1=r1",
                    "listen_addrs.frontend=" + ip + ":" + port,
                    "listen_addrs.readiness=" + ip + ":" + readiness,
                    "internal_ports=" + internal + "," + (internal + 15),
                    "bootstrap=" + first,
                    "limits.cpu_share=0.75",
                    "limits.cores=1",
                    "limits.memory_mb=430",
                    "limits.max_fds=4100",
                    "limits.link_mbps=1000.0",
                    "discovery=platform",
                    "entry=vip",
                    "heartbeat_ms=1500",
                    "bounds.contact_ms=3000",
                    "bounds.ack_ms=4000",
                    "bounds.drain_ms=2000",
                    "bounds.grace_s=6",
                    "bounds.config_apply_ms=2000",
                    "bounds.recovery_s=12",
                    "bounds.hold_max_ms=" + HOLD_MAX,
                    "bounds.stop_timeout_ms=900",
                    "bounds.gang_timeout_ms=3000",
                    "bounds.cancel_ms=3000",
                    "bounds.visible_ms=3000",
                    "bounds.early_ms=250",
                    "bounds.finish_s=14",
                    "bounds.status_s=120",
                    "bounds.lease_ms=3000",
                    "bounds.fencing_enforced=false",
                    "orders=call",
                    "advice=" + IP + ":" + cloudPort,
                    "platform.address=" + IP + ":" + storePort,
                    "platform.form=kv",
                    "platform.writes_per_s=400",
                    "platform.reads_per_s=2000",
                    "platform.history_s=20",
                    "platform.value_bytes=1048576",
                    "platform.ttl_min_ms=1000",
                    "cloud_api.address=" + IP + ":" + cloudPort,
                    "cloud_api.rate_per_s=64.0",
                    "cloud_api.duty_per_s=64.0",
                    "");
        }
    }

    DaemonHandle daemon(int number) throws IOException {
        DaemonHandle handle = new DaemonHandle(number);
        daemons.add(handle);
        handle.start(true);
        return handle;
    }

    /** Waits until all daemons are ready; returns whether they are. */
    boolean awaitReady(long millis) {
        long until = millis() + millis;
        while (millis() < until) {
            if (daemons.stream().allMatch(DaemonHandle::isReady)) {
                log("all daemons are ready");
                return true;
            }
            sleep(100);
        }
        return false;
    }

    /** Returns the daemon that holds a duty, by the store's record of its holder. */
    DaemonHandle holder(String duty) {
        String value = store.get("crocus/holder/" + duty);
        return daemons.stream()
                .filter(d -> value != null && value.contains(d.name))
                .findFirst()
                .orElse(null);
    }

    // Callers.

    /** Sends one call to a daemon and records it. */
    Http.Answer call(DaemonHandle to, String method, String path, String body) {
        Http.Answer answer = Http.call(to.ip, to.port, HOST, method, path, body, 3000);
        String shown = body.length() > 160 ? body.substring(0, 160) + "..." : body;
        log(
                "caller: " + method + " " + path + " to " + to.name + " " + shown + " -> "
                        + answer.status() + " " + answer.body());
        return answer;
    }

    /**
     * Hands a submission in as a sound caller does: after a refusal it waits as told, after no
     * answer it sends the same again, each time to the next daemon. Returns whether it was accepted.
     */
    boolean submit(String path, String body, int attempts) {
        for (int i = 0; i < attempts; i++) {
            DaemonHandle to = daemons.get(i % daemons.size());
            Http.Answer answer = call(to, "POST", path, body);
            if (answer.status() / 100 == 2) {
                return true;
            }
            if (answer.status() == 400 || answer.status() == 404) {
                return false;
            }
            String wait = answer.headers().get("retry-after");
            sleep(wait == null ? 200 : 1000 * Long.parseLong(wait));
        }
        return false;
    }

    /** Asks the daemons in turn until one tells the state; empty if none does. */
    String state(String path) {
        for (DaemonHandle daemon : daemons) {
            if (daemon.isUp()) {
                Http.Answer answer = call(daemon, "GET", path, "");
                if (answer.status() == 200) {
                    return (String) Json.readObject(answer.body()).get("state");
                }
                if (answer.status() == 410) {
                    return "410";
                }
            }
        }
        return "";
    }

    static Map<String, Object> step(int count, int cpu, int mem, int estimate) {
        return Json.object(
                "count", count, "cpu", cpu, "mem_mb", mem, "est_runtime_ms", estimate);
    }

    // Processes.

    private Process spawn(String name, Map<String, String> variables, String... command)
            throws IOException {
        ProcessBuilder builder = new ProcessBuilder(command).directory(root.toFile());
        Map<String, String> environment = builder.environment();
        Map<String, String> own = Map.copyOf(environment);
        environment.clear();
        for (String key : List.of("PATH", "HOME", "JAVA_HOME", "LANG")) {
            if (own.containsKey(key)) {
                environment.put(key, own.get(key));
            }
        }
        environment.putAll(variables);
        builder.redirectErrorStream(true);
        Process process = builder.start();
        processes.add(process);
        return process;
    }

    @Override
    public void close() {
        for (Process process : processes) {
            process.destroyForcibly();
        }
        for (Process process : processes) {
            try {
                process.waitFor(5, TimeUnit.SECONDS);
            } catch (InterruptedException e) {
                Thread.currentThread().interrupt();
            }
        }
        try (var files = Files.list(temporary)) {
            for (Path file : files.toList()) {
                Files.deleteIfExists(file);
            }
            Files.deleteIfExists(temporary);
        } catch (IOException e) {
            // Removed by an earlier call.
        }
    }
}
