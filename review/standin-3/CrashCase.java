package bed;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 12: workers crash, one at a time, while a work item of 20 s runs. */
final class CrashCase {
    private static final int WORKERS = 7;
    private static final long DOWN_MILLIS = 4000;
    private static final double LAST_S = 90;

    /** How long the work item has run when its worker crashes. */
    private static final double RUN_S = 3;

    private CrashCase() {}

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
        List<String> services = List.of("s1", "s2");
        Map<String, String> queues = new LinkedHashMap<>();
        queues.put("q1", "s1");
        queues.put("q2", "s2");
        List<Worker> workers = new ArrayList<>();
        for (int i = 1; i <= WORKERS; i++) {
            workers.add(bed.addWorker("m" + i, "s1", 16_000));
        }
        bed.addWorker("n1", "s2", 16_000);
        bed.configure(7, queues, services);
        bed.addDaemon("a", bed.store().address()).start();
        bed.addDaemon("b", bed.store().address()).start();
        if (!bed.awaitService("q1", 20_000)) {
            return 2;
        }
        String id = "00000000000000aa";
        AtomicInteger failedEnds = new AtomicInteger();
        Worker[] on = new Worker[1];
        double[] since = new double[1];
        bed.watch(new Bed.Watcher() {
            @Override
            public void onStart(Worker worker, String task, long run, String spec) {
                if (task.startsWith(id)) {
                    on[0] = worker;
                    since[0] = Bed.seconds();
                    bed.record("worker " + worker.id() + " starts " + task + " run " + run);
                }
            }

            @Override
            public void onEnd(Worker worker, String task, long run, String how) {
                if (task.startsWith(id)) {
                    bed.record("worker " + worker.id() + " ends " + task + " run " + run + ": " + how);
                    failedEnds.addAndGet(how.equals("failed") ? 1 : 0);
                }
            }
        });
        String body = "{\"spec\":\"ms=20000 long work\",\"steps\":[{\"count\":1,\"cpu\":2000,\"mem_mb\":256,\"est_runtime_ms\":20000}]}";
        bed.record("POST: " + bed.call(bed.daemons().get(0), "POST", "/q1/" + id, body));
        int crashes = 0;
        double lastCrash = 0;
        String state = "";
        double end = Bed.seconds() + LAST_S;
        while (Bed.seconds() < end && !state.contains("completed") && !state.contains("failed")) {
            Bed.sleep(100);
            Worker worker = on[0];
            boolean due = worker != null && Bed.seconds() - since[0] > RUN_S && Bed.seconds() - lastCrash > DOWN_MILLIS / 1e3 + 1;
            if (trouble && due && crashes < 6) {
                crashes++;
                lastCrash = Bed.seconds();
                on[0] = null;
                bed.crash(worker, DOWN_MILLIS);
            }
            Http.Response response = bed.call(bed.daemons().get(0), "GET", "/q1/" + id, "");
            if (!response.body().equals(state)) {
                state = response.body();
                bed.record("GET " + id + ": " + response.status() + " " + state);
            }
        }
        bed.record(crashes + " workers crashed, " + failedEnds + " ends of the work item are failed, its state is " + state);
        return state.contains("failed") && failedEnds.get() == 0 ? 1 : state.contains("completed") ? 0 : 2;
    }
}
