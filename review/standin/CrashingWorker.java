import java.nio.file.Path;
import java.util.List;
import java.util.Map;

/**
 * The only worker with a label crashes four times and is then sound. No run ends as failed, so the
 * submission that needs the label must not be shown as failed.
 */
final class CrashingWorker {
    private static final int CRASHES = 4;
    private static final int ATTEMPTS = 4;
    private static final long DOWN = 3000;
    private static final long UP = 4500;

    private CrashingWorker() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int result = 2;
        try (Bed bed = new Bed(Path.of(args[0]))) {
            result = play(bed, trouble);
            bed.log("exit " + result);
        }
        System.exit(result);
    }

    private static int play(Bed bed, boolean trouble) throws Exception {
        bed.configure(1, ATTEMPTS, "s1");
        for (int i = 1; i <= 5; i++) {
            bed.worker("i-" + i, "s1", "a", "r1-1", 16000);
        }
        Bed.WorkerHandle labelled = bed.worker("i-6", "s1", "g", "r1-2", 16000);
        bed.daemon(1);
        bed.daemon(2);
        if (!bed.awaitReady(20_000)) {
            return 2;
        }
        String path = Bed.PREFIX + "00000000000000c3";
        Map<String, Object> step = Bed.step(1, 1000, 500, 8000);
        step.put("requires", "g");
        String body =
                Json.write(
                        Json.object(
                                "spec", "work=8000;cpu=1000;mem=500", "steps", List.of(step)));
        if (!bed.submit(path, body, 20)) {
            return 2;
        }
        for (int i = 0; trouble && i < CRASHES; i++) {
            Bed.sleep(UP);
            labelled.kill();
            Bed.sleep(DOWN);
            labelled.start();
        }
        bed.log("end of traffic");
        // 8 s of work, finish_s of 14 s, and a margin.
        long until = bed.millis() + 30_000;
        String state = "";
        while (bed.millis() < until) {
            state = bed.state(path);
            if (state.equals("completed") || state.equals("failed")) {
                break;
            }
            Bed.sleep(1000);
        }
        long failed =
                bed.seen.stream()
                        .filter(s -> s.what().equals("END") && s.detail().equals("failed"))
                        .count();
        bed.log("shown as " + state + "; max_attempts " + ATTEMPTS + "; ends failed: " + failed);
        if (state.equals("failed")) {
            return failed < ATTEMPTS ? 1 : 0;
        }
        return state.equals("completed") ? 0 : 2;
    }
}
