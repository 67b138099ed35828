package bed;

import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * A sound worker, as PROTOCOL.md describes it. The text of a work item says how it runs: "ms=N "
 * at its beginning gives its time, and 0 stands for one that lasts.
 */
final class Worker {
    private static final int MAX_ENDS = 500;
    private static final long STARTUP_NANOS = 200_000_000L;

    private static final class Run {
        private String task;
        private long run;
        private long begun;
        private long lasts;
        private long stopAt = Long.MAX_VALUE;
        private boolean fails;
    }

    private final Bed bed;
    private final String machine;
    private final String service;
    private final String zone;
    private final String kind;
    private final String rack;
    private final long cpu;
    private volatile InetSocketAddress address;
    private final Http.Server server;
    private final String id;
    private final long born = System.currentTimeMillis();
    private final long bornNanos = System.nanoTime();
    private final Map<String, Run> running = new LinkedHashMap<>();
    private final List<List<Object>> ends = new ArrayList<>();
    private final Map<String, Long> over = new HashMap<>();
    private long token;
    private long untilMillis;
    private long lastEnd;
    private long seq;
    private volatile boolean crashed;
    private volatile boolean failing;

    Worker(Bed bed, String id, String machine, String service, String zone, String kind, String rack, long cpu)
            throws Exception {
        this.bed = bed;
        this.id = id;
        this.machine = machine;
        this.service = service;
        this.zone = zone;
        this.kind = kind;
        this.rack = rack;
        this.cpu = cpu;
        server = new Http.Server(new InetSocketAddress(bed.host(), 0), this::answer, 1);
        address = server.address();
        Http.thread("worker", this::work);
        Http.thread("heartbeat", this::heartbeat);
    }

    /** Returns the address at which the process listens. */
    InetSocketAddress listens() {
        return server.address();
    }

    /** Sets the address that the worker registers, if that is another one. */
    void setAddress(InetSocketAddress registered) {
        address = registered;
        bed.store().put("servers/" + id, entry());
    }

    String rack() {
        return rack;
    }

    String id() {
        return id;
    }

    String machine() {
        return machine;
    }

    String service() {
        return service;
    }

    Map<String, Object> machineJson(String state) {
        return Json.map(
                "machine", machine, "pool", service, "state", state, "zone", zone,
                "labels", List.of(kind, rack), "capacity", capacity(), "id", id);
    }

    private Map<String, Object> capacity() {
        return Json.map("cpu", cpu, "mem_mb", 65536L, "gpu", 0L);
    }

    boolean isCrashed() {
        return crashed;
    }

    /** Sets whether all that begins here fails. */
    void setFailing(boolean next) {
        failing = next;
    }

    String kind() {
        return kind;
    }

    /** Returns how many work items run here whose names begin so. */
    int runsOf(String name) {
        synchronized (bed.lock()) {
            return (int) running.keySet().stream().filter(t -> t.startsWith(name)).count();
        }
    }

    /** Ends as a process does that is killed. */
    void crash() {
        synchronized (bed.lock()) {
            crashed = true;
            server.crash();
            List<Run> lost = new ArrayList<>(running.values());
            running.clear();
            for (Run run : lost) {
                bed.record("worker " + id + " crashes with " + run.task + " run " + run.run);
                bed.onEnd(this, run.task, run.run, "crashed");
            }
        }
    }

    /** Loses power: it falls silent, and all that it runs has ended. */
    void losePower() throws java.io.IOException {
        synchronized (bed.lock()) {
            crashed = true;
            server.goDark();
            for (Run run : running.values()) {
                bed.record("worker " + id + " loses power with " + run.task + " run " + run.run);
            }
            running.clear();
        }
    }

    private void heartbeat() {
        while (!isCrashed()) {
            bed.store().put("servers/" + id, entry());
            Bed.sleep(1500);
        }
    }

    private Map<String, Object> entry() {
        return Json.map(
                "service", service, "address", address.getAddress().getHostAddress() + ":" + address.getPort(),
                "zone", zone, "version", "v1", "slots", 8L, "state", "ready", "cold_left_ms", 0L,
                "capacity", capacity(), "labels", List.of(kind, rack), "clock_ms", clock(), "seq", ++seq,
                "born", born, "machine", machine);
    }

    private long clock() {
        return (System.nanoTime() - bornNanos) / 1_000_000 + 1000;
    }

    private void work() {
        while (true) {
            synchronized (bed.lock()) {
                if (crashed) {
                    return;
                }
                long now = System.nanoTime();
                boolean lapsed = untilMillis > 0 && clock() > untilMillis;
                for (Run run : new ArrayList<>(running.values())) {
                    if (lapsed) {
                        end(run, "lapsed");
                    } else if (run.fails && now - run.begun > 20_000_000L) {
                        end(run, "failed");
                    } else if (now >= run.stopAt) {
                        end(run, "stopped");
                    } else if (run.lasts > 0 && now - run.begun >= run.lasts) {
                        end(run, "done");
                    }
                }
            }
            Bed.sleep(5);
        }
    }

    private void end(Run run, String how) {
        running.remove(run.task);
        over.merge(run.task, run.run, Math::max);
        ends.add(List.of(++lastEnd, run.task, run.run, how, ""));
        bed.onEnd(this, run.task, run.run, how);
        bed.lock().notifyAll();
    }

    private Http.Response answer(Http.Request request) throws Exception {
        if (request.path().equals("/healthz")) {
            return Http.Response.of(200);
        }
        String expected = request.headers().get("Expect-Instance");
        if (expected != null && !expected.equals(id)) {
            return Http.Response.of(421);
        }
        Map<String, Object> body = Json.object(request.body());
        if (bed.isHeld(this, request)) {
            return null;
        }
        return carryOut(request, body);
    }

    /** Carries an order out, when it arrives or later. */
    Http.Response carryOut(Http.Request request, Map<String, Object> body) throws Exception {
        synchronized (bed.lock()) {
            if (crashed) {
                return null;
            }
            long given = Json.number(body, "fencing_token", 0);
            if (given < token) {
                return refused("fence");
            }
            token = given;
            switch (request.path()) {
                case "/run-start":
                    return start(body);
                case "/run-stop":
                    return stop(body);
                case "/pace":
                    return Http.Response.of(200, "clock_ms", clock());
                case "/hold":
                    return hold(body);
                default:
                    return Http.Response.of(404);
            }
        }
    }

    private Http.Response refused(String reason) {
        return Http.Response.of(409, "clock_ms", clock(), "reason", reason);
    }

    private Http.Response start(Map<String, Object> body) {
        String task = (String) body.get("task");
        long number = Json.number(body, "run_id", 0);
        Run held = running.get(task);
        if (held != null && held.run == number) {
            return Http.Response.of(200, "clock_ms", clock());
        }
        if (Json.number(body, "until_ms", 0) <= clock()) {
            return refused("late");
        }
        extend(body);
        if (number <= over.getOrDefault(task, 0L) || held != null) {
            return refused("old");
        }
        if (bed.cpuOf(task) + running.keySet().stream().mapToLong(bed::cpuOf).sum() > cpu) {
            return refused("room");
        }
        Run run = new Run();
        run.task = task;
        run.run = number;
        run.begun = System.nanoTime();
        run.fails = failing;
        String spec = (String) body.get("spec");
        run.lasts = Long.parseLong(spec.substring(3, spec.indexOf(' '))) * 1_000_000;
        running.put(task, run);
        bed.onStart(this, task, number, spec);
        return Http.Response.of(200, "clock_ms", clock());
    }

    private Http.Response stop(Map<String, Object> body) {
        String task = (String) body.get("task");
        long number = Json.number(body, "run_id", 0);
        Run held = running.get(task);
        if (held != null && held.run <= number) {
            held.stopAt = Math.min(held.stopAt, System.nanoTime() + 100_000_000L);
        }
        over.merge(task, number, Math::max);
        return Http.Response.of(200, "clock_ms", clock());
    }

    private void extend(Map<String, Object> body) {
        long until = Json.number(body, "until_ms", 0);
        untilMillis = Math.max(untilMillis, Math.min(until, clock() + Bed.HOLD_MAX_MS));
    }

    private Http.Response hold(Map<String, Object> body) throws InterruptedException {
        long cursor = Json.number(body, "ack_cursor", 0);
        for (List<Object> end : ends) {
            if ((Long) end.get(0) <= cursor) {
                bed.onNoted((String) end.get(1), (Long) end.get(2), (String) end.get(3));
            }
        }
        ends.removeIf(e -> (Long) e.get(0) <= cursor);
        if (body.containsKey("until_ms")) {
            extend(body);
        }
        long end = System.nanoTime() + Math.min(2000, Json.number(body, "wait_ms", 0)) * 1_000_000;
        while (ends.isEmpty() && !crashed) {
            long left = (end - System.nanoTime()) / 1_000_000;
            if (left <= 0) {
                break;
            }
            bed.lock().wait(left);
        }
        if (crashed) {
            return null;
        }
        List<Object> rows = new ArrayList<>();
        long now = System.nanoTime();
        for (Run run : running.values()) {
            long percent = now - run.begun > STARTUP_NANOS ? 100 : 0;
            rows.add(List.of(run.task, run.run, "", percent, 10L));
        }
        return Http.Response.of(
                200, "clock_ms", clock(), "born", born, "running", rows,
                "finished", new ArrayList<>(ends.subList(0, Math.min(MAX_ENDS, ends.size()))));
    }
}
