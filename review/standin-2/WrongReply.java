import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/** A daemon is killed and starts again while the owner of a pool, which it has called, is frozen. */
final class WrongReply {
    private static final String SHORT = "00000000000000aa";
    private static final String LONG = "00000000000000bb";

    public static void main(String[] args) {
        Bed.main(WrongReply::run, args);
    }

    private static void run(Path root, Path record) throws Exception {
        Bed bed =
                new Bed(root, record) {
                    @Override
                    long durationMillis(String task, long run) {
                        return task.startsWith(SHORT) ? 300 : 30_000;
                    }
                };
        bed.configure("lots");
        bed.worker("i-1", "lots");
        bed.worker("i-2", "lots");
        Bed.Daemon a = bed.daemon("front-1", 1);
        Bed.Daemon b = bed.daemon("front-2", 2);
        a.start();
        b.start();
        a.awaitReady(20_000);
        b.awaitReady(20_000);
        Bed.Daemon owner = bed.awaitOwner("lots", 10_000);
        Bed.Daemon other = owner == a ? b : a;
        Map<String, Object> step =
                Json.of("count", 1, "cpu", 500, "mem_mb", 256, "est_runtime_ms", 300);
        owner.submit("lots", SHORT, Json.of("spec", "short", "steps", List.of(step)));
        owner.submit("lots", LONG, Json.of("spec", "long", "steps", List.of(step)));
        while (!owner.state("lots", SHORT).equals("completed")) {
            Thread.sleep(100);
        }
        Thread.sleep(2000);
        long begin = bed.now();
        if (bed.trouble) {
            owner.signal("STOP");
        }
        Thread.sleep(100);
        Thread first = new Thread(() -> other.state("lots", SHORT));
        first.start();
        Thread.sleep(100);
        if (bed.trouble) {
            other.kill();
            other.start();
        }
        other.awaitReady(5_000);
        String[] seen = {""};
        Thread second = new Thread(() -> seen[0] = other.state("lots", LONG));
        second.start();
        Thread.sleep(150);
        if (bed.trouble) {
            owner.signal("CONT");
            bed.record("frozen for " + (bed.now() - begin) + " ms");
        }
        second.join();
        first.join();
        bed.finish(seen[0].equals("completed"));
    }
}
