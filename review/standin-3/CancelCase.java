package bed;

import java.nio.file.Path;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Case 15: a submission of many small work items is cancelled while they run. */
final class CancelCase {
    private static final int WORKERS = 9;
    private static final int ITEMS = 8000;
    private static final int FEW_ITEMS = 32;
    private static final double CANCEL_S = 3.0;
    private static final double STOP_TIMEOUT_S = 0.9;

    private CancelCase() {}

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
        String large = "00000000000000c1";
        String small = "00000000000000c2";
        submit(bed, large, ITEMS);
        submit(bed, small, FEW_ITEMS);
        double end = Bed.seconds() + 40;
        while (running(bed, large) + running(bed, small) < ITEMS + FEW_ITEMS && Bed.seconds() < end) {
            Bed.sleep(100);
        }
        int begun = running(bed, large) + running(bed, small);
        bed.record(begun + " work items run on " + WORKERS + " workers");
        if (begun < ITEMS + FEW_ITEMS) {
            return 2;
        }
        Bed.sleep(3000);
        // Without the disruption the small submission is cancelled.
        String cancelled = trouble ? large : small;
        double sent = Bed.seconds();
        Http.Response response = bed.call(bed.daemons().get(0), "DELETE", "/q1/" + cancelled, "");
        double acked = Bed.seconds();
        bed.record(String.format("DELETE %s: %d after %.3f s", cancelled, response.status(), acked - sent));
        if (!response.isSuccess()) {
            return 2;
        }
        int left = running(bed, cancelled);
        int atBound = 0;
        while (left > 0 && Bed.seconds() < acked + 40) {
            Bed.sleep(100);
            left = running(bed, cancelled);
            if (Bed.seconds() <= acked + CANCEL_S + STOP_TIMEOUT_S + 0.1) {
                atBound = left;
            }
        }
        bed.record(String.format("%d work items of it run %.1f s after the acknowledgement; %d are left after %.1f s",
                atBound, CANCEL_S + STOP_TIMEOUT_S + 0.1, left, Bed.seconds() - acked));
        return atBound > 0 ? 1 : 0;
    }

    private static void submit(Bed bed, String id, int items) {
        String body = "{\"spec\":\"ms=90000 work\",\"steps\":[{\"count\":" + items
                + ",\"cpu\":15,\"mem_mb\":16,\"est_runtime_ms\":90000}]}";
        bed.setCpu(id, 15);
        bed.record("POST " + id + ", " + items + " work items: " + bed.call(bed.daemons().get(0), "POST", "/q1/" + id, body).status());
    }

    private static int running(Bed bed, String id) {
        return bed.workers().stream().mapToInt(w -> w.runsOf(id)).sum();
    }
}
