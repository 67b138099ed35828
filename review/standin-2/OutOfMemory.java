import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicBoolean;

/** A daemon is killed while the system holds about as many submissions as it accepts. */
final class OutOfMemory {
    private static final String[] SERVICES = {"s1", "s2", "s3", "s4", "s5"};

    /** 4,000 bytes of text, in Arabic; the client escapes it in JSON. */
    private static final String SPEC = "\u0645".repeat(2000);

    /** Most submissions to a queue. */
    private static final int MOST = Integer.getInteger("most", 2000);

    private static final int RESTART_MILLIS = 1000;

    /** finish_s */
    private static final int FINISH_MILLIS = 14_000;

    /** How long the clients go on, and how long submissions are asked for at most. */
    private static final int FILL_MILLIS = 45_000;

    private static final int ASK_MILLIS = 20_000;

    public static void main(String[] args) {
        Bed.main(OutOfMemory::run, args);
    }

    private static void run(Path root, Path record) throws Exception {
        Bed bed = new Bed(root, record);
        bed.configure(SERVICES);
        for (String s : SERVICES) {
            bed.worker("i-" + s + "a", s);
            bed.worker("i-" + s + "b", s);
        }
        List<Bed.Daemon> daemons = bed.daemons(3);
        for (String s : SERVICES) {
            bed.awaitOwner(s, 10_000);
        }
        bed.verbose = false;
        List<String[]> accepted = Collections.synchronizedList(new ArrayList<>());
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < SERVICES.length; i++) {
            int number = i;
            Thread client = new Thread(() -> fill(daemons, number, accepted));
            clients.add(client);
            client.start();
        }
        for (Thread client : clients) {
            client.join();
        }
        bed.record(accepted.size() + " submissions were answered with 200");
        Map<String, Integer> ownEnds = new ConcurrentHashMap<>();
        AtomicBoolean over = new AtomicBoolean();
        Bed.Daemon victim = bed.owner("s1");
        long killed = bed.now();
        if (bed.trouble) {
            victim.kill();
        }
        Thread platform = new Thread(() -> restart(bed, daemons, victim, ownEnds, over));
        platform.start();
        Thread.sleep(FINISH_MILLIS);
        int asked = 0;
        int unanswered = 0;
        long end = bed.now() + ASK_MILLIS;
        for (int i = 0; i < accepted.size() && bed.now() < end; i += accepted.size() / 20) {
            asked++;
            boolean known = false;
            for (int attempt = 0; attempt < daemons.size() && !known; attempt++) {
                Bed.Daemon daemon = daemons.get((asked + attempt) % daemons.size());
                known = daemon.state(accepted.get(i)[0], accepted.get(i)[1]).equals("queued");
            }
            unanswered += known ? 0 : 1;
        }
        bed.record("from " + (killed + FINISH_MILLIS) + " ms to " + bed.now() + " ms, " + asked
                + " accepted submissions were asked for at three daemons each: " + unanswered
                + " got no state");
        bed.record("processes that ended by themselves, by machine: " + ownEnds);
        long faulty =
                ownEnds.entrySet().stream()
                        .filter(e -> !e.getKey().equals(victim.name) && e.getValue() >= 3)
                        .count();
        bed.record(faulty + " machines that nobody disturbed had three such ends or more");
        over.set(true);
        platform.join();
        for (Bed.Daemon daemon : daemons) {
            List<String> ends = new ArrayList<>();
            for (String line : daemon.log().split("\n")) {
                if (line.startsWith("Terminating")) {
                    ends.add(line);
                }
            }
            if (!ends.isEmpty()) {
                bed.record(daemon.name + " wrote " + ends.size() + " times: " + ends.get(0));
            }
        }
        bed.finish(unanswered > 0 || faulty >= 2);
    }

    private static void fill(List<Bed.Daemon> daemons, int number, List<String[]> accepted) {
        Map<String, Object> step =
                Json.of("count", 1, "cpu", 100, "mem_mb", 16, "est_runtime_ms", 1000);
        long due = System.currentTimeMillis() + 3_600_000L;
        Map<String, Object> body =
                Json.of(
                        "spec", SPEC, "steps", List.of(step), "repeat_count", 1, "first_run_ms",
                        due, "interval_ms", 1000);
        String service = SERVICES[number];
        int refused = 0;
        long end = System.nanoTime() + FILL_MILLIS * 1_000_000L;
        for (int i = 0; i < MOST && refused < 3 && System.nanoTime() < end; i++) {
            String id = String.format("5c0e7a21%02x%06x", number, i);
            int status = daemons.get(i % daemons.size()).submit(service, id, body).status();
            if (status == 200) {
                accepted.add(new String[] {service, id});
            } else {
                refused++;
            }
        }
    }

    /** Starts each process that has ended again after a short delay, as the platform does. */
    private static void restart(
            Bed bed, List<Bed.Daemon> daemons, Bed.Daemon victim,
            Map<String, Integer> ownEnds, AtomicBoolean over) {
        try {
            boolean killed = bed.trouble;
            while (!over.get()) {
                for (Bed.Daemon daemon : daemons) {
                    if (daemon.process.isAlive()) {
                        continue;
                    }
                    if (killed && daemon == victim) {
                        killed = false;
                    } else {
                        ownEnds.merge(daemon.name, 1, Integer::sum);
                        bed.record(
                                "daemon " + daemon.name + " has ended by itself with "
                                        + daemon.process.exitValue());
                    }
                    Thread.sleep(RESTART_MILLIS);
                    daemon.start();
                }
                Thread.sleep(50);
            }
        } catch (Exception e) {
            bed.record("restart: " + e);
        }
    }
}
