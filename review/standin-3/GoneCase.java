package bed;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Case 14: a worker's machine loses power for good; a submission comes before its silence is noticed. */
final class GoneCase {
    private static final int WORKERS = 7;
    private static final double FINISH_S = 14;

    private GoneCase() {}

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
        for (int i = 1; i <= WORKERS; i++) {
            bed.addWorker("m" + i, "s1", 16_000);
        }
        bed.configure(7, queues, List.of("s1"));
        bed.addDaemon("a", bed.store().address()).start();
        bed.addDaemon("b", bed.store().address()).start();
        if (!bed.awaitService("q1", 20_000)) {
            return 2;
        }
        Map<String, Worker> last = new ConcurrentHashMap<>();
        bed.watch(new Bed.Watcher() {
            @Override
            public void onStart(Worker worker, String task, long run, String spec) {
                last.put(task.substring(0, 16), worker);
                bed.record("worker " + worker.id() + " starts " + task + " run " + run);
            }

            @Override
            public void onEnd(Worker worker, String task, long run, String how) {
                bed.record("worker " + worker.id() + " ends " + task + " run " + run + ": " + how);
            }
        });
        // Ordinary traffic: a submission each 0.4 s, each of one work item of 1 s.
        String body = "{\"spec\":\"ms=1000 work\",\"steps\":[{\"count\":1,\"cpu\":1000,\"mem_mb\":64,\"est_runtime_ms\":1000}]}";
        int n = 0;
        Worker lost = null;
        double lostAt = 0;
        double end = Bed.seconds() + 8;
        Map<String, Boolean> accepted = new LinkedHashMap<>();
        while (Bed.seconds() < end) {
            String id = String.format("%016x", 0xc0de00 + n);
            if (trouble && lost == null && end - Bed.seconds() < 3) {
                String before = String.format("%016x", 0xc0de00 + n - 1);
                lost = last.get(before);
                lostAt = Bed.seconds();
                bed.record("machine " + lost.machine() + " loses power for good, with worker " + lost.id());
                bed.loseForGood(lost);
            }
            Http.Response response = bed.call(bed.daemons().get(n % 2), "POST", "/q1/" + id, body);
            bed.record("POST " + id + ": " + response.status());
            accepted.put(id, response.isSuccess());
            n++;
            Bed.sleep(400);
        }
        bed.record("the traffic ends");
        Bed.sleep((long) (FINISH_S * 1000));
        // For 3 s from now on, each submission that is not over has to have something running.
        Map<String, Integer> idle = new LinkedHashMap<>();
        int looks = 0;
        for (double until = Bed.seconds() + 3.2; Bed.seconds() < until; looks++) {
            int busy = 0;
            for (Worker worker : bed.workers()) {
                busy += worker.runsOf("00000000");
            }
            for (String id : accepted.keySet()) {
                if (accepted.get(id)) {
                    Http.Response response = bed.call(bed.daemons().get(0), "GET", "/q1/" + id, "");
                    int running = bed.workers().stream().mapToInt(w -> w.runsOf(id)).sum();
                    if (running == 0 && !response.body().contains("completed")) {
                        idle.merge(id, 1, Integer::sum);
                        if (idle.get(id) == 1) {
                            bed.record("GET " + id + ": " + response + ", nothing of it is running");
                        }
                    }
                }
            }
            Bed.sleep(150);
        }
        boolean broken = false;
        for (Map.Entry<String, Integer> entry : idle.entrySet()) {
            if (entry.getValue() == looks) {
                broken = true;
                bed.record("LOST: " + entry.getKey() + " has had nothing running for 3 s, " + (WORKERS - 1) + " workers are idle");
            }
        }
        if (broken) {
            double until = lostAt + 45;
            while (Bed.seconds() < until) {
                boolean open = false;
                for (String id : idle.keySet()) {
                    open |= !bed.call(bed.daemons().get(0), "GET", "/q1/" + id, "").body().contains("completed");
                }
                if (!open) {
                    break;
                }
                Bed.sleep(200);
            }
            bed.record(String.format("%.1f s after the loss of the machine all are completed", Bed.seconds() - lostAt));
        }
        return broken ? 1 : 0;
    }
}
