import java.util.List;
import java.util.Map;

/**
 * The only worker with a label crashes four times and is then sound. No run ends as failed, and work
 * items that last have no limit of attempts, so the submission that needs the label must not be shown
 * as failed, and its work item must be started again.
 */
final class CrashingWorker {
    private static final int CRASHES = 4;
    private static final int ATTEMPTS = 4;
    private static final long DOWN = 3000;
    private static final long UP = 4500;

    private CrashingWorker() {}

    public static void main(String[] args) {
        Bed.main(args, CrashingWorker::play);
    }

    private static int play(Bed bed, boolean trouble) throws Exception {
        bed.configure(1, ATTEMPTS, "s1");
        for (int i = 1; i <= 6; i++) {
            bed.worker("i-" + i, "s1", "a", "r1-1", 16000);
        }
        Bed.WorkerHandle labelled = bed.worker("i-7", "s1", "g", "r1-2", 16000);
        bed.daemon(1);
        bed.daemon(2);
        if (!bed.awaitReady(20_000)) {
            return 2;
        }
        String path = Bed.PREFIX + "00000000000000c3";
        Map<String, Object> step = Bed.step(1, 1300, 2000, 500);
        step.put("requires", "g");
        step.put("long_running", true);
        String body =
                Json.write(
                        Json.object(
                                "spec", "lasts=1;cpu=1300;mem=2000", "steps", List.of(step)));
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
        // 6 s after the last run, the 3 s of the rule, and a margin.
        Bed.sleep(15_000);
        String state = bed.state(path);
        long failed =
                bed.seen.stream()
                        .filter(s -> s.what().equals("END") && s.detail().equals("failed"))
                        .count();
        bed.log("shown as " + state + "; max_attempts " + ATTEMPTS + "; ends failed: " + failed);
        long starts = bed.seen.stream().filter(s -> s.what().equals("START")).count();
        bed.log("starts " + starts);
        if (state.equals("failed")) {
            return failed < ATTEMPTS ? 1 : 0;
        }
        return state.equals("running") ? 0 : 2;
    }
}
