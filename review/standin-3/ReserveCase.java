package bed;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Case 14: a worker is lost, a gang that needs one more than are left waits, and so does other work. */
final class ReserveCase {
    private static final int WORKERS = 8;
    private static final double FINISH_S = 14;
    private static final String LABEL = "b";

    private ReserveCase() {}

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
        queues.put("q2", "s1");
        bed.addWorker("m1", "s1", LABEL, 16_000);
        for (int i = 2; i < WORKERS; i++) {
            bed.addWorker("m" + i, "s1", 16_000);
        }
        Worker lost = bed.addWorker("m" + WORKERS, "s1", 16_000);
        bed.configure(7, queues, List.of("s1"));
        bed.addDaemon("a", bed.store().address()).start();
        bed.addDaemon("b", bed.store().address()).start();
        if (!bed.awaitService("q1", 20_000)) {
            return 2;
        }
        bed.watch(new Bed.Watcher() {
            @Override
            public void onStart(Worker worker, String task, long run, String spec) {
                bed.record("worker " + worker.id() + " starts " + task + " run " + run);
            }

            @Override
            public void onEnd(Worker worker, String task, long run, String how) {
                bed.record("worker " + worker.id() + " ends " + task + " run " + run + ": " + how);
            }
        });
        post(bed, "q1", "00000000000000d0", 0, "\"count\":7,\"max_per_server\":1,\"long_running\":true,\"est_runtime_ms\":1000");
        Bed.sleep(2000);
        if (trouble) {
            bed.record("machine " + lost.machine() + " loses power for good, with worker " + lost.id());
            bed.loseForGood(lost);
            bed.forget(lost);
            Bed.sleep(8000);
        }
        post(bed, "q1", "00000000000000d1", 60_000, "\"count\":8,\"max_per_server\":1,\"gang\":true,\"est_runtime_ms\":60000");
        Bed.sleep(1500);
        String last = "00000000000000d2";
        post(bed, "q2", last, 600_000, "\"count\":1,\"requires\":\"" + LABEL + "\",\"est_runtime_ms\":600000");
        bed.record("the traffic ends");
        Bed.sleep((long) (FINISH_S * 1000));
        boolean idle = true;
        String state = "";
        for (double end = Bed.seconds() + 3.2; Bed.seconds() < end; Bed.sleep(100)) {
            int runs = bed.workers().stream().mapToInt(w -> w.runsOf(last)).sum();
            state = bed.call(bed.daemons().get(0), "GET", "/q2/" + last, "").body();
            idle &= runs == 0;
        }
        int all = bed.workers().stream().mapToInt(w -> w.runsOf("00000000")).sum();
        bed.record("GET " + last + ": " + state + (idle ? ", nothing of it has run for 3 s" : "") + "; " + all
                + " work items of 0.5 cores run in the pool");
        return idle ? 1 : 0;
    }

    private static void post(Bed bed, String queue, String id, int millis, String step) {
        String body = "{\"spec\":\"ms=" + millis + " work\",\"steps\":[{\"cpu\":500,\"mem_mb\":64," + step + "}]}";
        bed.setCpu(id, 500);
        bed.record("POST /" + queue + "/" + id + " " + body + ": "
                + bed.call(bed.daemons().get(0), "POST", "/" + queue + "/" + id, body).status());
    }
}
