import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** One life of a worker, as PROTOCOL.md tells it. */
final class Worker {
    private static final int LISTED_ENDS = 500;

    private static final class Run {
        final String task;
        final long run;
        final Bed.Needs needs;
        final long endsNanos;
        boolean stopping;

        Run(String task, long run, Bed.Needs needs, long endsNanos) {
            this.task = task;
            this.run = run;
            this.needs = needs;
            this.endsNanos = endsNanos;
        }
    }

    private static final class End {
        final long number;
        final String task;
        final long run;
        final String how;

        /** Whether the lease has lapsed since: then it is no longer taken note of. */
        boolean lapsed;

        End(long number, String task, long run, String how) {
            this.number = number;
            this.task = task;
            this.run = run;
            this.how = how;
        }

        List<Object> json() {
            return List.of(number, task, run, how, "");
        }
    }

    final String id;
    final String machine;
    final String service;
    final String kind;
    final long born = System.currentTimeMillis();
    private final Bed bed;
    private final long startNanos = System.nanoTime();
    private final Map<String, Run> runs = new LinkedHashMap<>();
    private final Deque<End> ends = new ArrayDeque<>();
    private final Map<String, Long> overRuns = new HashMap<>();
    private final Http http;
    private final Thread ticker;
    private long fence;
    private long lastEnd;
    private long untilMillis;
    private long usedCpu;
    private long usedMem;
    private long beats;
    private volatile boolean dead;

    /** Starts a worker; port 0 means any free one. */
    Worker(Bed bed, String id, String machine, String service, String kind, int port)
            throws Exception {
        this.kind = kind;
        this.bed = bed;
        this.id = id;
        this.machine = machine;
        this.service = service;
        http = new Http("127.0.0.1", port, this::handle);
        ticker = new Thread(this::tick, "worker " + id);
        ticker.setDaemon(true);
        ticker.start();
        beat();
        bed.record("worker " + id + " starts, born " + born + ", at " + http.address());
    }

    int port() {
        String address = http.address();
        return Integer.parseInt(address.substring(address.lastIndexOf(':') + 1));
    }

    synchronized long usedCpu() {
        return usedCpu;
    }

    synchronized int running() {
        return runs.size();
    }

    synchronized int listed() {
        return ends.size();
    }

    /** Ends at once, as a process does that is killed: its runs end, and nothing is told. */
    void crash() {
        synchronized (this) {
            dead = true;
            for (Run run : runs.values()) {
                bed.ended(this, run.task, run.run, "crashed", 0);
            }
            runs.clear();
            notifyAll();
        }
        http.stop();
        bed.record("worker " + id + " crashes");
    }

    private long clock() {
        return (System.nanoTime() - startNanos) / 1_000_000;
    }

    void beat() {
        beats++;
        bed.store.write(
                "servers/" + id,
                Json.of(
                        "service", service, "address", http.address(), "zone", "z1", "version",
                        "v1", "slots", 8, "state", "ready", "cold_left_ms", 0, "machine", machine,
                        "capacity",
                        Json.of("cpu", Bed.cpu, "mem_mb", Bed.mem, "gpu", 0), "labels",
                        List.of(kind, "r1"), "born", born, "clock_ms", clock(), "seq", beats));
    }

    private void tick() {
        long nextBeat = System.nanoTime() + 1_500_000_000L;
        while (!dead) {
            try {
                Thread.sleep(5);
            } catch (InterruptedException e) {
                return;
            }
            synchronized (this) {
                long now = System.nanoTime();
                boolean lapsed = clock() > untilMillis;
                if (lapsed) {
                    ends.forEach(e -> e.lapsed = true);
                }
                for (Run run : new ArrayList<>(runs.values())) {
                    if (lapsed) {
                        end(run, "lapsed");
                    } else if (run.stopping) {
                        end(run, "stopped");
                    } else if (now - run.endsNanos >= 0) {
                        end(run, bed.outcome(this, run.task, run.run));
                    }
                }
                if (now - nextBeat > 0 && !dead) {
                    nextBeat = now + 1_500_000_000L;
                    beat();
                }
            }
        }
    }

    private void end(Run run, String how) {
        runs.remove(run.task);
        overRuns.merge(run.task, run.run, Math::max);
        usedCpu -= run.needs.cpu();
        usedMem -= run.needs.mem();
        ends.add(new End(++lastEnd, run.task, run.run, how));
        bed.ended(this, run.task, run.run, how, lastEnd);
        notifyAll();
    }

    private Http.Answer handle(Http.Call call) throws Exception {
        if (dead) {
            return Http.NONE;
        }
        String expected = call.header("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            return new Http.Answer(421, Json.of("clock_ms", clock()));
        }
        if (call.path().equals("/healthz")) {
            return new Http.Answer(200, null);
        }
        Http.Answer answer;
        synchronized (this) {
            long token = Json.number(call.body(), "fencing_token", 0);
            if (token < fence) {
                return new Http.Answer(409, Json.of("clock_ms", clock(), "reason", "fence"));
            }
            fence = token;
            answer =
                    switch (call.path()) {
                        case "/run-start" -> start(call.body());
                        case "/run-stop" -> stop(call.body());
                        case "/hold" -> hold(call.body());
                        case "/pace" -> new Http.Answer(200, Json.of("clock_ms", clock()));
                        default -> new Http.Answer(404, null);
                    };
        }
        return answer;
    }

    private void extend(Map<String, Object> body) {
        long until = Json.number(body, "until_ms", 0);
        untilMillis = Math.max(untilMillis, Math.min(until, clock() + Bed.HOLD_MAX_MS));
    }

    private Http.Answer refuse(String reason) {
        return new Http.Answer(409, Json.of("clock_ms", clock(), "reason", reason));
    }

    private Http.Answer start(Map<String, Object> body) {
        String task = (String) body.get("task");
        long run = Json.number(body, "run_id", 0);
        if (Json.number(body, "until_ms", 0) <= clock()) {
            return refuse("late");
        }
        extend(body);
        Run held = runs.get(task);
        if (held != null && held.run == run) {
            return new Http.Answer(200, Json.of("clock_ms", clock()));
        }
        if (held != null || overRuns.getOrDefault(task, 0L) >= run) {
            return refuse("old");
        }
        if (!bed.isAllowed(task, id, body.get("ticket"))) {
            bed.refused(this, task, run, "ticket");
            return refuse("ticket");
        }
        Bed.Needs needs = bed.needs(task);
        if (needs == null) {
            bed.started(this, task, run);
            return refuse("room");
        }
        if (usedCpu + needs.cpu() > Bed.cpu || usedMem + needs.mem() > Bed.mem) {
            return refuse("room");
        }
        usedCpu += needs.cpu();
        usedMem += needs.mem();
        long endsNanos = System.nanoTime() + bed.durationMillis(task, run) * 1_000_000;
        runs.put(task, new Run(task, run, needs, endsNanos));
        bed.started(this, task, run);
        return new Http.Answer(200, Json.of("clock_ms", clock()));
    }

    private Http.Answer stop(Map<String, Object> body) {
        String task = (String) body.get("task");
        long run = Json.number(body, "run_id", 0);
        overRuns.merge(task, run, Math::max);
        Run held = runs.get(task);
        if (held != null && held.run <= run) {
            held.stopping = true;
        }
        return new Http.Answer(200, Json.of("clock_ms", clock()));
    }

    private Http.Answer hold(Map<String, Object> body) throws InterruptedException {
        extend(body);
        long cursor = Json.number(body, "ack_cursor", 0);
        while (!ends.isEmpty() && ends.peek().number <= cursor) {
            End end = ends.remove();
            if (!end.lapsed) {
                bed.acknowledged(this, end.task, end.run, end.how);
            }
        }
        long endNanos =
                System.nanoTime() + Math.min(2000, Json.number(body, "wait_ms", 0)) * 1_000_000;
        while (ends.isEmpty() && !dead) {
            long left = (endNanos - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                break;
            }
            wait(left);
        }
        if (dead) {
            return Http.NONE;
        }
        List<Object> running = new ArrayList<>();
        for (Run run : runs.values()) {
            running.add(List.of(run.task, run.run, "", 100, run.needs.cpu()));
        }
        List<Object> finished = new ArrayList<>();
        for (End end : ends) {
            if (finished.size() >= LISTED_ENDS) {
                break;
            }
            finished.add(end.json());
        }
        return new Http.Answer(
                200,
                Json.of(
                        "clock_ms", clock(), "born", born, "running", running, "finished",
                        finished));
    }
}
