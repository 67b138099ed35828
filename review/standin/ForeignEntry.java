import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;

/**
 * An entry of another writer under {@code servers/} whose bytes cannot be read, and then a rolling
 * restart: an accepted submission must still be completed.
 */
final class ForeignEntry {
    private ForeignEntry() {}

    public static void main(String[] args) {
        Bed.main(args, ForeignEntry::play);
    }

    private static int play(Bed bed, boolean trouble) throws Exception {
        bed.configure(1, 3, "s1");
        for (int i = 1; i <= 4; i++) {
            bed.worker("i-" + i, "s1", "a", "r1-" + i, 16000);
        }
        Bed.DaemonHandle first = bed.daemon(1);
        Bed.DaemonHandle second = bed.daemon(2);
        if (!bed.awaitReady(20_000)) {
            return 2;
        }
        String early = Bed.PREFIX + "00000000000000a1";
        if (!bed.submit(early, body(List.of(step(4, 1000, List.of())), 500), 20)
                || !await(bed, early, "completed", 15_000)) {
            return 2;
        }
        if (trouble) {
            bed.log("another writer writes servers/i-other");
            bed.store.put(
                    "servers/i-other", "[".repeat(20_000).getBytes(StandardCharsets.UTF_8));
        }
        String path = Bed.PREFIX + "00000000000000b2";
        Map<String, Object> head = step(4, 6000, List.of());
        Map<String, Object> tail = step(4, 6000, List.of(0));
        if (!bed.submit(path, body(List.of(head, tail), 6000), 20)) {
            bed.log("the submission was not accepted");
            return 2;
        }
        Bed.sleep(1000);
        for (Bed.DaemonHandle daemon : List.of(first, second)) {
            daemon.terminate();
            if (!daemon.waitForEnd(8000)) {
                daemon.kill();
            }
            daemon.start(false);
            Bed.sleep(4000);
        }
        // 12 s of work at the most, finish_s of 14 s, and as long again as a margin.
        bed.log("end of traffic");
        if (await(bed, path, "completed", 32_000)) {
            bed.log("held: the submission is completed");
            return 0;
        }
        long from = bed.millis();
        Bed.sleep(3500);
        boolean ran = bed.seen.stream().anyMatch(s -> s.millis() >= from);
        String state = bed.state(path);
        bed.log("for 3.5 s, starts and ends of runs: " + ran + "; shown as: " + state);
        return ran || state.equals("completed") ? 2 : 1;
    }

    private static boolean await(Bed bed, String path, String wanted, long millis) {
        long until = bed.millis() + millis;
        while (bed.millis() < until) {
            if (bed.state(path).equals(wanted)) {
                return true;
            }
            Bed.sleep(1000);
        }
        return false;
    }

    private static Map<String, Object> step(int count, int work, List<Integer> after) {
        Map<String, Object> step = Bed.step(count, 1000, 500, work);
        if (!after.isEmpty()) {
            step.put("after", List.copyOf(after));
        }
        return step;
    }

    private static String body(List<Map<String, Object>> steps, int work) {
        return Json.write(
                Json.object("spec", "work=" + work + ";cpu=1000;mem=500", "steps", steps));
    }
}
