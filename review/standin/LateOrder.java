import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A start gets no answer and is carried out 9.5 s later. Meanwhile its worker has crashed and has
 * started again under its name. No work item may run twice at the same time.
 */
final class LateOrder {
    private static final long HOLD = 9500;
    private static final long DOWN = 7000;

    private LateOrder() {}

    public static void main(String[] args) {
        Bed.main(args, LateOrder::play);
    }

    private static int play(Bed bed, boolean trouble) throws Exception {
        bed.proxied = true;
        bed.holdMillis = HOLD;
        bed.configure(1, 4, "s1");
        for (int i = 1; i <= 6; i++) {
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
        if (!bed.submit(path, body(9000), 20)) {
            return 2;
        }
        if (trouble) {
            Bed.sleep(300);
            Bed.WorkerHandle held = bed.heldAt;
            if (held == null) {
                return 2;
            }
            held.kill();
            Bed.sleep(DOWN);
            held.start();
        }
        String state = "";
        long until = bed.millis() + 25_000;
        while (bed.millis() < until && !state.equals("completed")) {
            Bed.sleep(1000);
            state = bed.state(path);
        }
        Bed.sleep(3000);
        bed.log("shown as " + state);
        return ranTwice(bed) ? 1 : state.equals("completed") ? 0 : 2;
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
