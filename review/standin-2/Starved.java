import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** A worker crashes just after a work item has begun there; the other workers are half empty. */
final class Starved {
    private static final int WORKERS = 8;
    private static final int LONG_MILLIS = 60_000;

    public static void main(String[] args) {
        Bed.main(Starved::run, args);
    }

    private static void run(Path root, Path record) throws Exception {
        String shortOne = "00000000000000aa";
        Bed bed =
                new Bed(root, record) {
                    @Override
                    long durationMillis(String task, long run) {
                        return task.startsWith(shortOne) ? 2000 : LONG_MILLIS;
                    }
                };
        bed.configure("lots");
        for (int i = 1; i <= WORKERS; i++) {
            bed.worker("i-" + i, "lots");
        }
        Bed.Daemon a = bed.daemons(2).get(0);
        bed.awaitOwner("lots", 10_000);
        for (int i = 1; i <= 2; i++) {
            Map<String, Object> step =
                    Json.of(
                            "count", 3 * WORKERS, "cpu", 500, "mem_mb", 256, "est_runtime_ms", LONG_MILLIS,
                            "max_per_server", 3);
            a.submit("lots", "000000000000000" + i, Json.of("spec", "long", "steps", List.of(step)));
        }
        Thread.sleep(1500);
        Map<String, Object> step =
                Json.of("count", 1, "cpu", 500, "mem_mb", 256, "est_runtime_ms", 2000);
        a.submit("lots", shortOne, Json.of("spec", "short", "steps", List.of(step)));
        Bed.RunSeen seen = null;
        while (seen == null) {
            Thread.sleep(5);
            synchronized (bed) {
                for (Bed.RunSeen run : bed.runs) {
                    if (run.task.startsWith(shortOne)) {
                        seen = run;
                    }
                }
            }
        }
        Thread.sleep(100);
        long crashed = bed.now();
        if (bed.trouble) {
            Worker worker = bed.workers.remove(seen.worker);
            worker.crash();
            Thread.sleep(4500);
            bed.store.delete("servers/" + worker.id);
        }
        Thread.sleep(500);
        while (bed.now() < crashed + 30_000) {
            Thread.sleep(2000);
            bed.record(bed.usedCores() + " cores of " + bed.workers.size() + " workers are in use");
            String state = a.state("lots", shortOne);
            if (state.equals("completed")) {
                break;
            }
        }
        Bed.RunSeen next = bed.awaitStart(shortOne, crashed, 1);
        long started = next == null ? -1 : next.startMillis;
        bed.record("crash at " + crashed + " ms, next start at " + started + " ms (-1: none)");
        // finish_s is 14; from then on, nothing has run for 3 s.
        bed.finish(bed.trouble && (started < 0 || started > crashed + 17_000));
    }
}
