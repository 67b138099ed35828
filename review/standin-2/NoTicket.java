import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** A queue with advice is removed, and the daemons are restarted in turn. */
final class NoTicket {
    private static final String ID = "00000000000000aa";

    public static void main(String[] args) {
        Bed.main(NoTicket::run, args);
    }

    private static void run(Path root, Path record) throws Exception {
        Bed bed =
                new Bed(root, record) {
                    @Override
                    long durationMillis(String task, long run) {
                        return task.startsWith(ID + ".0.0.") ? 16_000 : 1000;
                    }

                    @Override
                    boolean isAdvised(String task) {
                        return true;
                    }
                };
        List<String> services = List.of("lots", "desk");
        bed.configure(11, services, services, List.of("lots"));
        bed.worker("i-1", "lots");
        bed.worker("i-2", "lots");
        bed.worker("i-3", "desk");
        Bed.Daemon a = bed.daemon("front-1", 1);
        Bed.Daemon b = bed.daemon("front-2", 2);
        a.start();
        b.start();
        a.awaitReady(20_000);
        b.awaitReady(20_000);
        bed.awaitOwner("lots", 10_000);
        Map<String, Object> first =
                Json.of("count", 1, "cpu", 500, "mem_mb", 256, "est_runtime_ms", 16_000);
        Map<String, Object> second =
                Json.of(
                        "count", 1, "cpu", 500, "mem_mb", 256, "est_runtime_ms", 1000, "after",
                        List.of(0));
        Map<String, Object> body = Json.of("spec", "text", "steps", List.of(first, second));
        a.submit("lots", ID, body);
        Thread.sleep(2000);
        if (bed.trouble) {
            bed.configure(12, services, List.of("desk"), List.of());
            bed.record("version 12 removes the queue of lots");
        }
        Thread.sleep(2500);
        for (Bed.Daemon daemon : List.of(a, b)) {
            if (bed.trouble) {
                daemon.signal("TERM");
                daemon.process.waitFor();
                bed.record("daemon " + daemon.name + " has ended");
                Thread.sleep(300);
                daemon.start();
                daemon.awaitReady(20_000);
            }
        }
        bed.awaitOwner("lots", 10_000);
        long end = bed.now() + 40_000;
        long firstDone = -1;
        boolean done = false;
        while (bed.now() < end && !done) {
            Thread.sleep(200);
            synchronized (bed) {
                for (Bed.RunSeen run : bed.runs) {
                    if (run.how.equals("done") && run.task.startsWith(ID + ".0.0.")) {
                        firstDone = firstDone < 0 ? run.endMillis : firstDone;
                    }
                    done |= run.how.equals("done") && run.task.startsWith(ID + ".0.1.");
                }
            }
            if (firstDone > 0 && bed.now() > firstDone + 18_000) {
                break;
            }
        }
        bed.record("first step done at " + firstDone + " ms; second step done: " + done);
        bed.finish(!done);
    }
}
