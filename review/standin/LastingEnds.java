import java.util.List;
import java.util.Map;

/**
 * The work items of a submission that lasts end as done after 5 s. Nobody cancels it, so they must
 * be started again.
 */
final class LastingEnds {
    private static final int WORK_ITEMS = 3;
    private static final long EXIT = 5000;

    private LastingEnds() {}

    public static void main(String[] args) {
        Bed.main(args, LastingEnds::play);
    }

    private static int play(Bed bed, boolean trouble) throws Exception {
        bed.configure(1, 4, "s1");
        for (int i = 1; i <= 6; i++) {
            bed.worker("i-" + i, "s1", "a", "r1-" + (i + 3) / 4, 16000);
        }
        bed.daemon(1);
        bed.daemon(2);
        if (!bed.awaitReady(20_000)) {
            return 2;
        }
        String path = Bed.PREFIX + "00000000000000f6";
        Map<String, Object> step = Bed.step(WORK_ITEMS, 1300, 2000, 500);
        step.put("long_running", true);
        step.put("max_per_server", 1);
        step.put("may_miss", 1);
        String spec = "lasts=1;cpu=1300;mem=2000" + (trouble ? ";exits=" + EXIT : "");
        String body = Json.write(Json.object("spec", spec, "steps", List.of(step)));
        if (!bed.submit(path, body, 20)) {
            return 2;
        }
        long until = bed.millis() + 10_000;
        while (bed.millis() < until && count(bed, "START") < WORK_ITEMS) {
            Bed.sleep(50);
        }
        if (count(bed, "START") < WORK_ITEMS) {
            return 2;
        }
        // The end of the last run, 6 s, the 3 s of the rule, and a margin.
        Bed.sleep(EXIT + 6000 + 3000 + 2000);
        long starts = count(bed, "START");
        long ends = count(bed, "END");
        String state = bed.state(path);
        bed.log("starts " + starts + ", ends " + ends + ", shown as " + state);
        long down = WORK_ITEMS - (starts - ends);
        if (!trouble) {
            return down == 0 && state.equals("running") ? 0 : 2;
        }
        return down > 0 && starts == WORK_ITEMS ? 1 : 0;
    }

    private static long count(Bed bed, String what) {
        return bed.seen.stream().filter(s -> s.what().equals(what)).count();
    }
}
