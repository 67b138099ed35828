import java.io.File;
import java.io.PrintWriter;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/** A small deployment: the store, workers and machines as stand-ins, and daemons as processes. */
class Bed {
    /** What a worker has, as in sites/nlba-rooms.toml. */
    static long cpu = 16000;

    static long mem = 65536;
    static final long HOLD_MAX_MS = 10000;

    record Needs(long cpu, long mem) {}

    record Reply(int status, String body) {}

    /** One run of a task on a worker, as the workers have seen it. */
    static final class RunSeen {
        final String task;
        final long run;
        final String worker;
        final long startMillis;
        long endMillis = -1;
        String how = "";
        boolean acknowledged;

        RunSeen(String task, long run, String worker, long startMillis) {
            this.task = task;
            this.run = run;
            this.worker = worker;
            this.startMillis = startMillis;
        }
    }

    final Store store = new Store();
    final Map<String, Worker> workers = new ConcurrentHashMap<>();
    final List<RunSeen> runs = new ArrayList<>();
    private final Map<String, List<RunSeen>> byTask = new HashMap<>();
    final AtomicInteger refusals = new AtomicInteger();
    final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
    private final Map<String, List<Object>> steps = new ConcurrentHashMap<>();
    private final long startNanos = System.nanoTime();
    private final PrintWriter out;
    private final Path root;
    private final Path temp;
    private final List<Daemon> daemons = new ArrayList<>();
    private final Http cloud;
    private final Http advice;
    private final HttpClient client =
            HttpClient.newBuilder().version(HttpClient.Version.HTTP_1_1).build();
    /** Whether each order is written into the record; off where thousands are sent. */
    boolean verbose = true;

    Bed(Path root, Path record) throws Exception {
        this.root = root;
        out = new PrintWriter(record.toFile());
        temp = Files.createTempDirectory("bed");
        cloud = new Http("127.0.0.1", 0, this::cloud);
        advice = new Http("127.0.0.1", 0, this::advise);
        Runtime.getRuntime().addShutdownHook(new Thread(this::killAll));
    }

    long now() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    synchronized void record(String line) {
        out.println(String.format("%8.3f s  %s", now() / 1000.0, line));
        out.flush();
    }

    // Submissions.

    void submitted(String id, List<Object> itsSteps) {
        steps.put(id, itsSteps);
    }

    @SuppressWarnings("unchecked")
    Needs needs(String task) {
        String[] parts = task.split("\\.");
        List<Object> known = steps.get(parts[0]);
        if (known == null) {
            return null;
        }
        Map<String, Object> step = (Map<String, Object>) known.get(Integer.parseInt(parts[2]));
        return new Needs(Json.number(step, "cpu", 0), Json.number(step, "mem_mb", 0));
    }

    /** How long a run takes. */
    long durationMillis(String task, long run) {
        return 1000;
    }

    /** Returns whether the queue of a task allows only workers that the advice names. */
    boolean isAdvised(String task) {
        return false;
    }

    private static String ticket(String step, String worker) {
        return Integer.toHexString((step + "/" + worker).hashCode());
    }

    /** Returns whether a start carries the ticket that it needs. */
    boolean isAllowed(String task, String worker, Object ticket) {
        String step = task.substring(0, task.lastIndexOf('.'));
        return !isAdvised(task) || ticket(step, worker).equals(ticket);
    }

    private Http.Answer advise(Http.Call call) throws Exception {
        String step = (String) call.body().get("step");
        List<Object> allowed = new ArrayList<>();
        @SuppressWarnings("unchecked")
        List<Object> named = (List<Object>) call.body().get("workers");
        Thread.sleep(20 + 2L * named.size());
        for (Object id : named) {
            allowed.add(List.of(id, ticket(step, (String) id)));
        }
        return new Http.Answer(200, Json.of("allowed", allowed, "valid_ms", 3000));
    }

    /** How a run ends by itself. */
    String outcome(Worker worker, String task, long run) {
        return "done";
    }

    void started(Worker worker, String task, long run) {
        synchronized (this) {
            RunSeen seen = new RunSeen(task, run, worker.id, now());
            runs.add(seen);
            byTask.computeIfAbsent(task, t -> new ArrayList<>()).add(seen);
        }
        if (verbose) {
            record("worker " + worker.id + " starts " + task + " run " + run);
        }
    }

    /** Returns how many cores the runs on all workers use. */
    double usedCores() {
        return workers.values().stream().mapToLong(Worker::usedCpu).sum() / 1000.0;
    }

    synchronized int startCount() {
        return runs.size();
    }

    void refused(Worker worker, String task, long run, String reason) {
        if (refusals.incrementAndGet() % 20 == 1) {
            record(
                    "worker " + worker.id + " rejects " + task + " run " + run + ": " + reason
                            + " (rejection " + refusals.get() + ")");
        }
    }

    void ended(Worker worker, String task, long run, String how, long number) {
        synchronized (this) {
            for (RunSeen seen : byTask.getOrDefault(task, List.of())) {
                boolean ended = seen.endMillis >= 0;
                if (!ended && seen.run == run && seen.worker.equals(worker.id)) {
                    seen.endMillis = now();
                    seen.how = how;
                }
            }
        }
        if (verbose) {
            record("worker " + worker.id + " ends " + task + " run " + run + " " + how);
        }
    }

    void acknowledged(Worker worker, String task, long run, String how) {
        synchronized (this) {
            for (RunSeen seen : byTask.getOrDefault(task, List.of())) {
                if (seen.run == run && seen.worker.equals(worker.id)) {
                    seen.acknowledged = true;
                }
            }
        }
        if (verbose) {
            record("worker " + worker.id + " end of " + task + " run " + run + " taken note of");
        }
    }

    // The platform's control of machines: nothing is moved, as there is one pool.

    private Http.Answer cloud(Http.Call call) {
        if (!call.path().equals("/machines")) {
            record("cloud " + call.path() + " " + call.body());
            return new Http.Answer(409, Json.of("reason", "busy"));
        }
        List<Object> machines = new ArrayList<>();
        for (Worker worker : workers.values()) {
            machines.add(
                    Json.of(
                            "machine", worker.machine, "pool", worker.service, "state", "up",
                            "zone", "z1", "labels", List.of(worker.kind, "r1"), "capacity",
                            Json.of("cpu", cpu, "mem_mb", mem, "gpu", 0), "id", worker.id));
        }
        return new Http.Answer(200, Json.of("machines", machines));
    }

    Worker worker(String id, String service) throws Exception {
        return worker(id, service, "a");
    }

    Worker worker(String id, String service, String kind) throws Exception {
        Worker worker = new Worker(this, id, "m-" + id, service, kind, 0);
        workers.put(id, worker);
        return worker;
    }

    /** Starts a crashed worker again, under its id and at its address. */
    Worker again(Worker crashed) throws Exception {
        Worker worker =
                new Worker(
                        this, crashed.id, crashed.machine, crashed.service, crashed.kind,
                        crashed.port());
        workers.put(worker.id, worker);
        return worker;
    }

    /** Waits until a run of a submission has begun after a time, and returns it. */
    RunSeen awaitStart(String submission, long afterMillis, long millis) throws Exception {
        long end = now() + millis;
        while (now() < end) {
            synchronized (this) {
                for (RunSeen run : runs) {
                    if (run.task.startsWith(submission) && run.startMillis > afterMillis) {
                        return run;
                    }
                }
            }
            Thread.sleep(5);
        }
        return null;
    }

    /** Starts daemons, and waits until they are ready. */
    List<Daemon> daemons(int count) throws Exception {
        List<Daemon> started = new ArrayList<>();
        for (int i = 1; i <= count; i++) {
            Daemon daemon = daemon("front-" + i, i);
            started.add(daemon);
            daemon.start();
        }
        for (Daemon daemon : started) {
            daemon.awaitReady(20_000);
        }
        return started;
    }

    /** Writes a configuration: one queue for each service. */
    void configure(String... services) {
        configure(11, List.of(services), List.of(services), List.of());
    }

    /** Writes a configuration with a queue for some of the services. */
    void configure(int version, List<String> services, List<String> queues, List<String> advised) {
        List<Object> routes = new ArrayList<>();
        List<Object> pools = new ArrayList<>();
        for (String service : services) {
            pools.add(Json.of("name", service, "admission_check", true));
        }
        for (String queue : queues) {
            Map<String, Object> route =
                    Json.of(
                            "name", "q-" + queue, "host", queue + ".example", "prefix",
                            "/" + queue + "/", "service", queue, "priority", 0,
                            "max_attempts", 2, "stretch", 2.0, "target_duration_ms", 1000,
                            "timeout_ms", 3000);
            if (advised.contains(queue)) {
                route.put("advice", Json.of("decide_ms", 20, "period_ms", 2, "valid_ms", 3000));
            }
            routes.add(route);
        }
        store.write(
                "op/config",
                Json.of(
                        "version", version, "routes", routes, "services", pools, "limits",
                        Json.of()));
    }

    // Daemons.

    final class Daemon {
        final String name;
        final String ip;
        final int front;
        final int ready;
        private final int peer;
        private final Path settings;
        private final Path log;
        private final Http storeDoor;
        Process process;

        Daemon(String name, int number) throws Exception {
            this.name = name;
            ip = "127.0.7." + number;
            front = freePort(ip);
            ready = freePort(ip);
            peer = freePort(ip);
            storeDoor = store.open(name);
            settings = temp.resolve(name + ".conf");
            log = temp.resolve(name + ".log");
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
                    "region=r",
                    "zones.z1=r",
                    "listen_addrs.frontend=" + ip + ":" + front,
                    "listen_addrs.readiness=" + ip + ":" + ready,
                    "internal_ports=" + peer + "," + (peer + 1),
                    "bootstrap=" + first,
                    "limits.cpu_share=0.75",
                    "limits.cores=1",
                    "limits.memory_mb=430",
                    "limits.max_fds=4100",
                    "heartbeat_ms=1500",
                    "bounds.contact_ms=3000",
                    "bounds.drain_ms=2000",
                    "bounds.grace_s=6",
                    "bounds.hold_max_ms=" + HOLD_MAX_MS,
                    "bounds.stop_timeout_ms=900",
                    "bounds.gang_timeout_ms=3000",
                    "bounds.cancel_ms=3000",
                    "bounds.visible_ms=3000",
                    "bounds.status_s=120",
                    "bounds.lease_ms=3000",
                    "bounds.fencing_enforced=false",
                    "orders=call",
                    "advice=" + advice.address(),
                    "platform.address=" + storeDoor.address(),
                    "platform.form=kv",
                    "platform.writes_per_s=400",
                    "platform.reads_per_s=2000",
                    "platform.history_s=20",
                    "platform.value_bytes=1048576",
                    "platform.ttl_min_ms=1000",
                    "cloud_api.address=" + cloud.address(),
                    "cloud_api.rate_per_s=64.0",
                    "cloud_api.duty_per_s=64.0",
                    "");
        }

        void start() throws Exception {
            Files.writeString(settings, settings(process == null));
            ProcessBuilder builder = new ProcessBuilder(command());
            builder.directory(root.toFile());
            builder.environment().keySet().retainAll(List.of("PATH", "HOME", "JAVA_HOME", "LANG"));
            builder.environment().put("CROCUSGRADE_NODE_FILE", settings.toString());
            builder.redirectErrorStream(true);
            builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
            process = builder.start();
            record("daemon " + name + " started");
        }

        void kill() throws Exception {
            process.destroyForcibly().waitFor();
            record("daemon " + name + " killed");
        }

        void signal(String signal) throws Exception {
            new ProcessBuilder("kill", "-" + signal, Long.toString(process.pid()))
                    .start()
                    .waitFor();
            record("daemon " + name + " gets SIG" + signal);
        }

        boolean isReady() {
            try {
                HttpRequest request =
                        HttpRequest.newBuilder(URI.create("http://" + ip + ":" + ready + "/readyz"))
                                .timeout(Duration.ofMillis(500))
                                .build();
                return client.send(request, HttpResponse.BodyHandlers.ofString()).statusCode()
                        == 200;
            } catch (Exception e) {
                return false;
            }
        }

        void awaitReady(long millis) throws Exception {
            long end = now() + millis;
            while (!isReady()) {
                if (now() > end) {
                    throw new IllegalStateException(name + " is not ready");
                }
                Thread.sleep(20);
            }
            record("daemon " + name + " is ready");
        }

        /** Returns the lines of the log with an event. */
        List<String> logged(String event) throws Exception {
            List<String> found = new ArrayList<>();
            for (String line : Files.readAllLines(log)) {
                if (line.contains("event=" + event)) {
                    found.add(line);
                }
            }
            return found;
        }

        String log() throws Exception {
            return Files.readString(log);
        }

        /** Sends a call; status 0 means no answer. */
        Reply call(String method, String service, String path, Object body) {
            String text = body == null ? "" : Json.write(body);
            try {
                HttpRequest request =
                        HttpRequest.newBuilder(
                                        URI.create(
                                                "http://" + ip + ":" + front + "/" + service + "/"
                                                        + path))
                                .header("Host", service + ".example")
                                .header("Content-Type", "application/json")
                                .header("Deadline-Ms", "3000")
                                .timeout(Duration.ofMillis(3000))
                                .method(
                                        method,
                                        body == null
                                                ? HttpRequest.BodyPublishers.noBody()
                                                : HttpRequest.BodyPublishers.ofString(text))
                                .build();
                if (verbose) {
                    record("client sends " + method + " " + service + " " + path + " to " + name);
                }
                HttpResponse<String> response =
                        client.send(request, HttpResponse.BodyHandlers.ofString());
                if (verbose || response.statusCode() != 200) {
                    record(
                            "client gets " + response.statusCode() + " " + response.body()
                                    + " for " + method + " " + service + " " + path);
                }
                return new Reply(response.statusCode(), response.body());
            } catch (Exception e) {
                record("client gets no answer for " + method + " " + path + ": " + e);
                return new Reply(0, "");
            }
        }

        Reply submit(String service, String id, Map<String, Object> body) {
            @SuppressWarnings("unchecked")
            List<Object> itsSteps = (List<Object>) body.get("steps");
            submitted(id, itsSteps);
            return call("POST", service, id, body);
        }

        String state(String service, String id) {
            Reply reply = call("GET", service, id, null);
            if (reply.status != 200) {
                return Integer.toString(reply.status);
            }
            return (String) Json.object(reply.body).get("state");
        }
    }

    Daemon daemon(String name, int number) throws Exception {
        Daemon daemon = new Daemon(name, number);
        daemons.add(daemon);
        return daemon;
    }

    /** Returns the daemon that holds the duty for a service, by the daemons' logs. */
    Daemon owner(String service) throws Exception {
        for (Daemon daemon : daemons) {
            if (daemon.process == null || !daemon.process.isAlive()) {
                continue;
            }
            boolean owns = false;
            for (String line : daemon.log().split("\n")) {
                if (line.contains("duty=") && line.contains(service)) {
                    if (line.contains("event=duty-gained")) {
                        owns = true;
                    } else if (line.contains("event=duty-lost")) {
                        owns = false;
                    }
                }
                if (line.contains("event=started")) {
                    owns = false;
                }
            }
            if (owns) {
                return daemon;
            }
        }
        return null;
    }

    Daemon awaitOwner(String service, long millis) throws Exception {
        long end = now() + millis;
        while (now() < end) {
            Daemon owner = owner(service);
            if (owner != null) {
                record("daemon " + owner.name + " owns " + service);
                return owner;
            }
            Thread.sleep(20);
        }
        throw new IllegalStateException("no owner of " + service);
    }

    private List<String> command() throws Exception {
        String deploy = Files.readString(root.resolve("deploy/system.toml"));
        Matcher run = Pattern.compile("(?m)^run = \"(.*)\"$").matcher(deploy);
        if (!run.find()) {
            throw new IllegalStateException("no run line in the deploy file");
        }
        return List.of(run.group(1).split(" "));
    }

    private static int freePort(String ip) throws Exception {
        try (ServerSocket socket = new ServerSocket()) {
            socket.bind(new InetSocketAddress(ip, 0));
            return socket.getLocalPort();
        }
    }

    void killAll() {
        for (Daemon daemon : daemons) {
            if (daemon.process != null) {
                daemon.process.destroyForcibly();
            }
        }
        String keep = System.getenv("KEEP_LOGS");
        for (Daemon daemon : daemons) {
            try {
                if (keep != null) {
                    Files.copy(
                            daemon.log,
                            Path.of(keep, daemon.name + ".log"),
                            java.nio.file.StandardCopyOption.REPLACE_EXISTING);
                }
                Files.deleteIfExists(daemon.log);
                Files.deleteIfExists(daemon.settings);
            } catch (Exception e) {
                // The files are in a temporary folder.
            }
        }
        new File(temp.toString()).delete();
    }

    /** Returns the starts after the same task has ended as done, with that end taken note of. */
    synchronized List<String> startsAfterDone() {
        Map<String, RunSeen> done = new LinkedHashMap<>();
        List<String> found = new ArrayList<>();
        for (RunSeen seen : runs) {
            if (seen.how.equals("done") && seen.acknowledged) {
                RunSeen first = done.get(seen.task);
                if (first == null || seen.endMillis < first.endMillis) {
                    done.put(seen.task, seen);
                }
            }
        }
        for (RunSeen seen : runs) {
            RunSeen first = done.get(seen.task);
            if (first != null && seen != first && seen.startMillis > first.endMillis) {
                found.add(
                        seen.task + " run " + first.run + " on " + first.worker + " done at "
                                + first.endMillis + " ms, run " + seen.run + " on " + seen.worker
                                + " starts at " + seen.startMillis + " ms");
            }
        }
        return found;
    }

    /** Ends the case: 1 if the rule was broken, 0 if it held. */
    void finish(boolean broken) {
        record(broken ? "RESULT: the rule is broken" : "RESULT: the rule held");
        System.out.println(broken ? "broken" : "held");
        System.exit(broken ? 1 : 0);
    }

    /** A case of the review. */
    interface Case {
        void run(Path root, Path record) throws Exception;
    }

    static void main(Case which, String[] args) {
        try {
            which.run(Path.of(args[0]), Path.of(args[1]));
        } catch (Throwable e) {
            e.printStackTrace();
            System.exit(2);
        }
    }
}
