import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A start gets no answer and is carried out 11 s later. The work item has been done by another run
 * before, and its submission was shown as completed. In between, the worker has crashed once and has
 * started again under its name. The work item must not be started again.
 */
final class LateOrder {
    private static final long HOLD = 11_000;
    private static final long DOWN = 2000;

    private LateOrder() {}

    public static void main(String[] args) {
        Bed.main(args, LateOrder::play);
    }

    private static int play(Bed bed, boolean trouble) throws Exception {
        bed.proxied = true;
        bed.holdMillis = HOLD;
        bed.configure(1, 4, "s1");
        for (int i = 1; i <= 7; i++) {
            bed.worker("i-" + i, "s1", "a", "r1-1", 16000);
        }
        bed.daemon(1);
        bed.daemon(2);
        if (!bed.awaitReady(20_000)) {
            return 2;
        }
        String early = Bed.PREFIX + "00000000000000a1";
        if (!bed.submit(early, body(500), 20)) {
            return 2;
        }
        Bed.sleep(3000);
        if (trouble) {
            bed.startsToHold.set(1);
        }
        String path = Bed.PREFIX + "00000000000000d4";
        if (!bed.submit(path, body(2000), 20)) {
            return 2;
        }
        long sent = bed.millis();
        String state = "";
        while (bed.millis() < sent + 6000 && !state.equals("completed")) {
            Bed.sleep(500);
            state = bed.state(path);
        }
        if (!state.equals("completed")) {
            bed.log("the submission is not completed in time for the case");
            return 2;
        }
        if (trouble) {
            Bed.WorkerHandle held = bed.heldAt;
            if (held == null) {
                return 2;
            }
            Bed.sleep(sent + 6000 - bed.millis());
            held.kill();
            Bed.sleep(DOWN);
            held.start();
        }
        Bed.sleep(sent + HOLD + 4000 - bed.millis());
        bed.log("shown as " + bed.state(path));
        return ranTwice(bed) ? 1 : 0;
    }

    /** Returns whether a run began while another run of its work item was active, or after its end. */
    private static boolean ranTwice(Bed bed) {
        Map<String, Bed.Seen> active = new HashMap<>();
        Map<String, Bed.Seen> done = new HashMap<>();
        boolean twice = false;
        for (Bed.Seen seen : bed.seen) {
            if (seen.what().equals("UP")) {
                active.values().removeIf(s -> s.worker().equals(seen.worker()));
            } else if (seen.what().equals("START")) {
                Bed.Seen other = active.get(seen.task());
                if (other == null) {
                    other = done.get(seen.task());
                }
                if (other != null) {
                    twice = true;
                    bed.log("two runs of one work item: " + other + " and " + seen);
                }
                active.put(seen.task(), seen);
            } else if (seen.what().equals("END")) {
                Bed.Seen held = active.get(seen.task());
                if (held != null && held.run() == seen.run()) {
                    active.remove(seen.task());
                }
                if (seen.detail().equals("done")) {
                    done.put(seen.task(), seen);
                }
            }
        }
        return twice;
    }

    private static String body(int work) {
        Map<String, Object> step = Bed.step(1, 1000, 500, work);
        return Json.write(
                Json.object("spec", "work=" + work + ";cpu=1000;mem=500", "steps", List.of(step)));
    }
}
