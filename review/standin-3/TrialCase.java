package bed;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Case 13: a worker fails all that it starts for a while; then a long work item begins on it. */
final class TrialCase {
    private static final int WORKERS = 12;
    private static final double FAILING_S = 6.5;
    private static final double FINISH_S = 14;
    private static final String LABEL = "b";

    private TrialCase() {}

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
        Worker labelled = bed.addWorker("m1", "s1", LABEL, 16_000);
        for (int i = 2; i <= WORKERS; i++) {
            bed.addWorker("m" + i, "s1", 16_000);
        }
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
        post(bed, "00000000000000f0", 0, true);
        Bed.sleep(1000);
        if (trouble) {
            bed.record("worker " + labelled.id() + " fails all that it starts");
            labelled.setFailing(true);
        }
        double begun = Bed.seconds();
        for (int n = 0; Bed.seconds() < begun + FAILING_S - 0.5; n++) {
            post(bed, String.format("%016x", 0xf100 + n), 300, false);
            Bed.sleep(300);
        }
        labelled.setFailing(false);
        bed.record("worker " + labelled.id() + " is sound");
        Bed.sleep(5000);
        post(bed, "00000000000000f2", 60_000, true);
        Bed.sleep(1500);
        String last = "00000000000000f3";
        post(bed, last, 1000, true);
        bed.record("the traffic ends");
        Bed.sleep((long) (FINISH_S * 1000));
        boolean idle = true;
        String state = "";
        for (double end = Bed.seconds() + 3.2; Bed.seconds() < end; Bed.sleep(100)) {
            int runs = bed.workers().stream().mapToInt(w -> w.runsOf(last)).sum();
            state = bed.call(bed.daemons().get(0), "GET", "/q2/" + last, "").body();
            idle &= runs == 0 && !state.contains("completed");
        }
        int onLabelled = labelled.runsOf("00000000");
        bed.record("GET " + last + ": " + state + (idle ? ", nothing of it has run for 3 s" : "") + "; worker "
                + labelled.id() + " runs " + onLabelled + " work items of 0.5 cores");
        return idle ? 1 : 0;
    }

    private static void post(Bed bed, String id, int millis, boolean labelled) {
        String body = "{\"spec\":\"ms=" + millis + " work\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem_mb\":64,\"est_runtime_ms\":"
                + Math.max(millis, 1000) + (labelled ? ",\"requires\":\"" + LABEL + "\"" : "")
                + (millis == 0 ? ",\"long_running\":true" : "") + "}]}";
        bed.setCpu(id, 500);
        bed.record("POST " + id + ", " + (millis == 0 ? "which lasts" : millis + " ms")
                + (labelled ? ", requires " + LABEL : "") + ": " + bed.call(bed.daemons().get(0), "POST", (labelled ? "/q2/" : "/q1/") + id, body).status());
    }
}
