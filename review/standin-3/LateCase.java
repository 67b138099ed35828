package bed;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/**
 * Case 11: a start gets no answer, and its work item goes on elsewhere; the worker then starts again
 * under its name, cut off, and carries the start out.
 */
final class LateCase {
    private static final int WORKERS = 7;
    private static final long LATE_MILLIS = 9000;
    private static final long DOWN_MILLIS = 600;
    private static final long CUT_MILLIS = 5500;

    private LateCase() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Bed bed = new Bed(Path.of(args[0]))) {
            code = run(bed, trouble);
            bed.record("exit " + code);
        }
        System.exit(code);
    }

    private static int run(Bed bed, boolean trouble) throws Exception {
        Map<String, String> queues = new LinkedHashMap<>();
        queues.put("q1", "s1");
        Map<String, Proxy> proxies = new HashMap<>();
        for (int i = 1; i <= WORKERS; i++) {
            Worker worker = bed.addWorker("m" + i, "s1", 16_000);
            Proxy proxy = new Proxy(bed.host(), worker.listens());
            worker.setAddress(proxy.address());
            proxies.put(worker.machine(), proxy);
        }
        bed.configure(7, queues, List.of("s1"));
        bed.addDaemon("a", bed.store().address()).start();
        bed.addDaemon("b", bed.store().address()).start();
        if (!bed.awaitService("q1", 20_000)) {
            return 2;
        }
        String id = "00000000000000e1";
        History history = new History(bed, id, trouble);
        bed.watch(history);
        // The first worker is full for a while, so that the work item begins on another one.
        String filler = "00000000000000e0";
        bed.setCpu(filler, 16_000);
        bed.setCpu(id, 1000);
        post(bed, filler, 1600, 16_000);
        Bed.sleep(500);
        post(bed, id, 30_000, 1000);
        if (!trouble) {
            Bed.sleep(15_000);
            return history.isTwice() ? 1 : 0;
        }
        double end = Bed.seconds() + 6;
        while (!history.isElsewhere() && Bed.seconds() < end) {
            Bed.sleep(50);
        }
        Worker held = history.holder();
        if (!history.isElsewhere() || held == null) {
            bed.record("the work item did not go elsewhere");
            return 0;
        }
        Bed.sleep(500);
        Proxy proxy = proxies.get(held.machine());
        bed.record("worker " + held.id() + " is cut off from the daemons, crashes, and starts again under its name");
        proxy.setCut(true);
        held.crash();
        Bed.sleep(DOWN_MILLIS);
        Worker next = bed.startAgain(held);
        proxy.passTo(next.listens());
        next.setAddress(proxy.address());
        Bed.sleep(CUT_MILLIS - DOWN_MILLIS);
        proxy.setCut(false);
        bed.record("the cut is healed");
        Bed.sleep(3000);
        return history.isTwice() ? 1 : 0;
    }

    private static void post(Bed bed, String id, int millis, int cpu) {
        String body = "{\"spec\":\"ms=" + millis + " work\",\"steps\":[{\"count\":1,\"cpu\":" + cpu
                + ",\"mem_mb\":64,\"est_runtime_ms\":" + millis + "}]}";
        bed.record("POST " + id + ": " + bed.call(bed.daemons().get(0), "POST", "/q1/" + id, body).status());
    }

    /** Holds the first start of the work item, and its repetitions, and watches its runs. */
    private static final class History implements Bed.Watcher {
        private final Bed bed;
        private final String id;
        private final boolean trouble;
        private final List<String> active = new ArrayList<>();
        private Worker holder;
        private long run;
        private boolean twice;

        History(Bed bed, String id, boolean trouble) {
            this.bed = bed;
            this.id = id;
            this.trouble = trouble;
        }

        synchronized Worker holder() {
            return holder;
        }

        /** Returns whether the work item runs on another worker than the one that holds its start. */
        synchronized boolean isElsewhere() {
            return holder != null && active.stream().anyMatch(a -> !a.startsWith(holder.id() + " "));
        }

        synchronized boolean isTwice() {
            return twice;
        }

        @Override
        public boolean isHeld(Worker worker, Http.Request request) {
            Map<String, Object> body = Json.object(request.body());
            synchronized (this) {
                boolean ours = request.path().equals("/run-start") && ((String) body.get("task")).startsWith(id);
                long number = Json.number(body, "run_id", 0);
                if (request.path().equals("/run-stop") && ((String) body.get("task")).startsWith(id)) {
                    bed.record("worker " + worker.id() + " is told to stop run " + number);
                }
                if (!trouble || !ours || holder != null && number != run) {
                    return false;
                }
                bed.record("worker " + worker.id() + " leaves the start of run " + number
                        + " unanswered, and carries it out " + LATE_MILLIS + " ms later");
                holder = worker;
                run = number;
                Http.thread("late", () -> carryOut(worker.id(), request, body));
            }
            Bed.sleep(2000);
            return true;
        }

        private void carryOut(String name, Http.Request request, Map<String, Object> body) {
            Bed.sleep(LATE_MILLIS);
            for (Worker worker : bed.workers()) {
                if (worker.id().equals(name)) {
                    try {
                        bed.record("worker " + name + " carries the late start out: " + worker.carryOut(request, body));
                    } catch (Exception e) {
                        bed.record("worker " + name + " cannot carry the late start out: " + e);
                    }
                }
            }
        }

        @Override
        public synchronized void onStart(Worker worker, String task, long number, String spec) {
            bed.record("worker " + worker.id() + " starts " + task + " run " + number);
            if (!task.startsWith(id)) {
                return;
            }
            if (!active.isEmpty()) {
                twice = true;
                bed.record("TWICE: " + task + " run " + number + " on " + worker.id() + " beside " + active);
            }
            active.add(worker.id() + " run " + number);
        }

        @Override
        public synchronized void onEnd(Worker worker, String task, long number, String how) {
            bed.record("worker " + worker.id() + " ends " + task + " run " + number + ": " + how);
            active.remove(worker.id() + " run " + number);
        }
    }
}
