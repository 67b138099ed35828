import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Callers hand in schedules: every minute for a day, twelve work items each. The daemons accept
 * them; a submission that was accepted before must still be completed.
 */
final class ScheduledWork {
    private static final int SCHEDULES = 30;
    private static final int CALLERS = 6;
    private static final int TIMES = 1440;
    private static final int WORK_ITEMS = 12;
    private static final long MINUTE = 60_000;
    private static final int WORK = 12;

    private ScheduledWork() {}

    public static void main(String[] args) {
        Bed.main(args, ScheduledWork::play);
    }

    private static int play(Bed bed, boolean trouble) throws Exception {
        bed.configure(1, 4, "s1");
        for (int i = 1; i <= 4; i++) {
            bed.worker("i-" + i, "s1", "a", "r1-1", 16000);
        }
        bed.daemon(1);
        bed.daemon(2);
        if (!bed.awaitReady(20_000)) {
            return 2;
        }
        String path = Bed.PREFIX + "00000000000000b2";
        Map<String, Object> first = Bed.step(4, 1000, 500, 8000);
        Map<String, Object> second = Bed.step(4, 1000, 500, 8000);
        Map<String, Object> third = Bed.step(4, 1000, 500, 8000);
        second.put("after", List.of(0));
        third.put("after", List.of(1));
        String body =
                Json.write(
                        Json.object(
                                "spec", "work=8000;cpu=1000;mem=500", "steps",
                                List.of(first, second, third)));
        if (!bed.submit(path, body, 20)) {
            return 2;
        }
        AtomicInteger next = new AtomicInteger();
        AtomicInteger accepted = new AtomicInteger();
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; trouble && i < CALLERS; i++) {
            Thread caller = new Thread(() -> handIn(bed, next, accepted));
            callers.add(caller);
            caller.start();
        }
        for (Thread caller : callers) {
            caller.join();
        }
        bed.log("schedules accepted: " + accepted + "; end of traffic");
        // 24 s of work, finish_s of 14 s, and a margin.
        long until = Math.max(bed.millis() + 14_000, 62_000);
        while (bed.millis() < until) {
            if (bed.state(path).equals("completed")) {
                bed.log("held: the submission is completed");
                return 0;
            }
            Bed.sleep(1000);
        }
        return awaitGap(bed, path);
    }

    private static void handIn(Bed bed, AtomicInteger next, AtomicInteger accepted) {
        int number = next.getAndIncrement();
        while (number < SCHEDULES) {
            String path = Bed.PREFIX + String.format("%016x", 4096 + number);
            String body = schedule();
            boolean done = false;
            while (!done && bed.millis() < 40_000) {
                done = bed.submit(path, body, 2);
            }
            if (done) {
                accepted.incrementAndGet();
            }
            number = next.getAndIncrement();
        }
    }

    private static String schedule() {
        Map<String, Object> step = Bed.step(WORK_ITEMS, 500, 200, 800);
        return Json.write(
                Json.object(
                        "spec", "work=800;cpu=500;mem=200", "steps", List.of(step),
                        "repeat_count", TIMES,
                        "first_run_ms", System.currentTimeMillis() + 60 * MINUTE,
                        "interval_ms", MINUTE));
    }

    /**
     * Looks for 3.5 s in which nothing runs, though work items of the submission are not done and
     * the workers are idle.
     */
    private static int awaitGap(Bed bed, String path) {
        long idleSince = bed.millis();
        while (bed.millis() < 108_000) {
            if (done(bed) == WORK) {
                bed.log("all work items are done, late");
                return 0;
            }
            if (isRunning(bed)) {
                idleSince = bed.millis();
            }
            if (bed.millis() - idleSince > 3500) {
                String state = bed.state(path);
                bed.log(
                        "nothing has run for 3.5 s; work items done: " + done(bed) + " of " + WORK
                                + "; shown as: " + state);
                return state.equals("completed") ? 2 : 1;
            }
            Bed.sleep(50);
        }
        return 2;
    }

    private static long done(Bed bed) {
        return bed.seen.stream()
                .filter(s -> s.what().equals("END") && s.detail().equals("done"))
                .map(Bed.Seen::task)
                .distinct()
                .count();
    }

    private static boolean isRunning(Bed bed) {
        Set<String> running = new HashSet<>();
        for (Bed.Seen seen : bed.seen) {
            if (seen.what().equals("START")) {
                running.add(seen.task() + " " + seen.run());
            } else if (seen.what().equals("END")) {
                running.remove(seen.task() + " " + seen.run());
            }
        }
        return !running.isEmpty();
    }
}
