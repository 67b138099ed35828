import com.sun.net.httpserver.HttpExchange;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * A worker as a process of its own. It starts, stops and lists runs as the protocol says, and
 * checks in every 1.5 s. What a work item does stands in its text: {@code work} and {@code cpu},
 * {@code mem}, {@code lasts}, and {@code exits}, after which one that lasts ends as done. Each start and each end is a line on standard output.
 */
final class Worker {
    private static final int LIST = 500;
    private static final long STOP_MILLIS = 50;
    private static final long STARTUP_MILLIS = 300;

    private static final class Run {
        private final long number;
        private final long begun;
        private final long work;
        private final long cpu;
        private final long mem;
        private final boolean lasts;
        private final long exits;
        private long stopAt = Long.MAX_VALUE;

        Run(long number, long begun, Map<String, Long> text) {
            this.number = number;
            this.begun = begun;
            work = text.getOrDefault("work", 1000L);
            cpu = text.getOrDefault("cpu", 0L);
            mem = text.getOrDefault("mem", 0L);
            lasts = text.getOrDefault("lasts", 0L) == 1;
            exits = text.getOrDefault("exits", Long.MAX_VALUE);
        }
    }

    private final Map<String, String> options;
    private final String id;
    private final long holdMax;
    private final long born = System.currentTimeMillis();
    private final long startNanos = System.nanoTime();
    private final Map<String, Run> runs = new TreeMap<>();
    private final Map<String, Long> highest = new HashMap<>();
    private final List<List<Object>> ends = new ArrayList<>();
    private long lastEnd;
    private long fence;
    private long until;

    private Worker(Map<String, String> options) {
        this.options = options;
        id = options.get("id");
        holdMax = Long.parseLong(options.get("hold_max"));
    }

    public static void main(String[] args) throws Exception {
        Map<String, String> options = new HashMap<>();
        for (String arg : args) {
            int equals = arg.indexOf('=');
            options.put(arg.substring(0, equals), arg.substring(equals + 1));
        }
        new Worker(options).start();
    }

    private void start() throws Exception {
        Http.serve(options.get("ip"), Integer.parseInt(options.get("port")), this::handle);
        print("UP", id, 0, "born=" + born);
        Thread clock = new Thread(this::run);
        clock.start();
        long seq = 0;
        while (true) {
            beat(++seq);
            Thread.sleep(1500);
        }
    }

    private void beat(long seq) {
        Map<String, Object> entry =
                Json.object(
                        "service", options.get("service"),
                        "address", options.get("address"),
                        "zone", options.get("zone"),
                        "version", "v1",
                        "slots", 8,
                        "state", "ready",
                        "cold_left_ms", 0,
                        "capacity", capacity(),
                        "labels", List.of(options.get("kind"), options.get("rack")),
                        "clock_ms", clock(),
                        "machine", options.get("machine"),
                        "born", born,
                        "seq", seq);
        Http.call(
                options.get("ip"),
                Integer.parseInt(options.get("beats")),
                "store",
                "POST",
                "/beat/" + id,
                Json.write(entry),
                1000);
    }

    private Map<String, Object> capacity() {
        return Json.object(
                "cpu", Long.parseLong(options.get("cpu")),
                "mem_mb", Long.parseLong(options.get("mem")),
                "gpu", 0);
    }

    private long clock() {
        return 1000 + (System.nanoTime() - startNanos) / 1_000_000;
    }

    private static void print(String what, String task, long run, String detail) {
        synchronized (System.out) {
            System.out.println(
                    System.currentTimeMillis() + " " + what + " " + task + " " + run + " " + detail);
            System.out.flush();
        }
    }

    private void run() {
        while (true) {
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                long now = clock();
                for (String task : List.copyOf(runs.keySet())) {
                    Run run = runs.get(task);
                    if (now > until) {
                        end(task, "lapsed");
                    } else if (now >= run.stopAt) {
                        end(task, "stopped");
                    } else if (now - run.begun >= (run.lasts ? run.exits : run.work)) {
                        end(task, "done");
                    }
                }
            }
        }
    }

    private void end(String task, String how) {
        Run run = runs.remove(task);
        highest.merge(task, run.number, Math::max);
        ends.add(List.of(++lastEnd, task, run.number, how, ""));
        print("END", task, run.number, how);
        notifyAll();
    }

    private Http.Answer handle(String method, String path, HttpExchange exchange, String text)
            throws Exception {
        if (path.equals("/healthz")) {
            return Http.answer(200, null);
        }
        String expected = exchange.getRequestHeaders().getFirst("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            return Http.answer(421, Json.object("clock_ms", clock()));
        }
        Map<String, Object> body = Json.readObject(text);
        synchronized (this) {
            long token = Json.number(body, "fencing_token", 0);
            if (token < fence) {
                return refused("fence");
            }
            fence = token;
            return switch (path) {
                case "/run-start" -> startRun(body);
                case "/run-stop" -> stopRun(body);
                case "/hold" -> hold(body);
                case "/pace" -> Http.answer(200, Json.object("clock_ms", clock()));
                default -> Http.answer(404, null);
            };
        }
    }

    private Http.Answer refused(String reason) {
        return Http.answer(409, Json.object("clock_ms", clock(), "reason", reason));
    }

    private void extend(Map<String, Object> body) {
        long wanted = Math.min(Json.number(body, "until_ms", 0), clock() + holdMax);
        until = Math.max(until, wanted);
    }

    private Http.Answer startRun(Map<String, Object> body) {
        String task = (String) body.get("task");
        long number = Json.number(body, "run_id", 0);
        Run held = runs.get(task);
        if (held != null && held.number == number) {
            extend(body);
            return Http.answer(200, Json.object("clock_ms", clock()));
        }
        if (held != null || number <= highest.getOrDefault(task, 0L)) {
            extend(body);
            return refused("old");
        }
        if (Json.number(body, "until_ms", 0) <= clock()) {
            return refused("late");
        }
        Run run = new Run(number, clock(), text((String) body.get("spec")));
        long cpu = run.cpu;
        long mem = run.mem;
        for (Run other : runs.values()) {
            cpu += other.cpu;
            mem += other.mem;
        }
        extend(body);
        if (cpu > Long.parseLong(options.get("cpu")) || mem > Long.parseLong(options.get("mem"))) {
            return refused("room");
        }
        runs.put(task, run);
        print("START", task, number, "fence=" + fence);
        return Http.answer(200, Json.object("clock_ms", clock()));
    }

    /** Reads a text of the form {@code work=3000;cpu=500}. */
    static Map<String, Long> text(String spec) {
        Map<String, Long> found = new HashMap<>();
        for (String part : spec.split(";")) {
            int equals = part.indexOf('=');
            if (equals > 0) {
                found.put(part.substring(0, equals), Long.parseLong(part.substring(equals + 1)));
            }
        }
        return found;
    }

    private Http.Answer stopRun(Map<String, Object> body) {
        String task = (String) body.get("task");
        long number = Json.number(body, "run_id", 0);
        highest.merge(task, number, Math::max);
        Run held = runs.get(task);
        if (held != null && held.number <= number) {
            held.stopAt = Math.min(held.stopAt, clock() + STOP_MILLIS);
        }
        return Http.answer(200, Json.object("clock_ms", clock()));
    }

    private Http.Answer hold(Map<String, Object> body) throws InterruptedException {
        extend(body);
        long acknowledged = Json.number(body, "ack_cursor", 0);
        ends.removeIf(e -> (Long) e.get(0) <= acknowledged);
        long answerAt = clock() + Math.min(2000, Json.number(body, "wait_ms", 0));
        while (ends.isEmpty() && clock() < answerAt) {
            wait(Math.max(1, answerAt - clock()));
        }
        List<Object> running = new ArrayList<>();
        runs.forEach(
                (task, run) -> {
                    long age = clock() - run.begun;
                    long percent =
                            run.lasts
                                    ? (age >= STARTUP_MILLIS ? 100 : 0)
                                    : Math.min(99, age * 100 / Math.max(1, run.work));
                    running.add(List.of(task, run.number, "", percent, run.cpu));
                });
        List<Object> finished = new ArrayList<>(ends.subList(0, Math.min(LIST, ends.size())));
        return Http.answer(
                200,
                Json.object(
                        "clock_ms", clock(), "born", born, "running", running, "finished",
                        finished));
    }
}
