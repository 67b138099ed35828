package bed;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * Case 11: submissions with texts of 4,000 bytes are handed in and done; then two daemons are
 * stopped and started in turn.
 */
final class MemoryCase {
    private static final int TEXT_BYTES = 4000;
    private static final double FILL_S = 42;
    private static final double PER_S = Double.parseDouble(System.getProperty("perS", "85"));
    private static final double FINISH_S = 14;

    private MemoryCase() {}

    public static void main(String[] args) throws Exception {
        boolean trouble = !"0".equals(System.getenv("TROUBLE"));
        int code = 2;
        try (Bed bed = new Bed(Path.of(args[0]))) {
            code = run(bed, trouble);
            bed.record("exit " + code);
        }
        System.exit(code);
    }

    private static int run(Bed bed, boolean trouble) throws Exception {
        List<String> services = List.of("s1", "s2", "s3", "s4", "s5");
        Map<String, String> queues = new LinkedHashMap<>();
        for (String service : services) {
            queues.put("q" + service.substring(1), service);
            bed.addWorker("m" + service + "-1", service, 16_000);
            bed.addWorker("m" + service + "-2", service, 16_000);
        }
        bed.configure(7, queues, services);
        bed.addDaemon("a", bed.store().address()).start();
        bed.addDaemon("b", bed.store().address()).start();
        if (!bed.awaitService("q1", 20_000)) {
            return 2;
        }
        List<String> lasting = new ArrayList<>();
        for (String queue : queues.keySet()) {
            String id = "00000000000000" + queue.replace('q', 'a');
            String body = "{\"spec\":\"ms=0 lasts\",\"steps\":[{\"count\":1,\"cpu\":500,\"mem_mb\":64,\"est_runtime_ms\":1000,\"long_running\":true}]}";
            Http.Response response = bed.call(bed.daemons().get(0), "POST", "/" + queue + "/" + id, body);
            bed.record("POST /" + queue + "/" + id + ", which lasts: " + response.status());
            lasting.add(id);
        }
        ConcurrentLinkedQueue<String> accepted = new ConcurrentLinkedQueue<>();
        fill(bed, accepted);
        if (accepted.size() < 1000) {
            return 2;
        }
        if (trouble) {
            Daemon first = bed.daemons().get(0);
            Daemon second = bed.daemons().get(1);
            first.terminate(false);
            awaitRestart(bed, first, 2);
            second.terminate(false);
            awaitRestart(bed, second, 2);
        }
        Bed.sleep((long) (FINISH_S * 1000));
        int unanswered = countUnanswered(bed, new ArrayList<>(accepted));
        int idle = countIdle(bed, lasting);
        for (Daemon daemon : bed.daemons()) {
            bed.record(daemon.name() + " was started " + daemon.starts() + " times, ended by itself at (s: status) " + daemon.ownEnds());
        }
        bed.record("of 20 accepted submissions " + unanswered + " are not answered; of " + lasting.size()
                + " work items that last " + idle + " have not run for 3 s");
        return unanswered > 0 || idle > 0 ? 1 : 0;
    }

    private static void fill(Bed bed, ConcurrentLinkedQueue<String> accepted) throws InterruptedException {
        String start = "ms=100 ";
        String text = start + "the text of a submission ".repeat(200).substring(0, TEXT_BYTES - start.length());
        String body = "{\"spec\":\"" + text + "\",\"steps\":[{\"count\":1,\"cpu\":100,\"mem_mb\":64,\"est_runtime_ms\":100}]}";
        AtomicInteger next = new AtomicInteger();
        AtomicInteger refused = new AtomicInteger();
        AtomicInteger other = new AtomicInteger();
        long begun = System.nanoTime();
        List<Thread> clients = new ArrayList<>();
        for (int i = 0; i < 16; i++) {
            clients.add(Http.thread("client", () -> {
                while ((System.nanoTime() - begun) / 1e9 < FILL_S) {
                    int n = next.getAndIncrement();
                    Bed.sleep((long) (n / PER_S * 1000 - (System.nanoTime() - begun) / 1e6));
                    String path = "/q" + (n % 5 + 1) + "/" + String.format("%016x", 0x1000_0000L + n);
                    Http.Response response = bed.call(bed.daemons().get(n / 5 % 2), "POST", path, body);
                    if (response.isSuccess()) {
                        accepted.add(path);
                    } else {
                        (response.status() == 503 ? refused : other).incrementAndGet();
                    }
                }
            }));
        }
        for (Thread client : clients) {
            client.join();
        }
        bed.record("POST of " + next + " submissions of " + TEXT_BYTES + " bytes of text: accepted " + accepted.size()
                + ", refused with 503 " + refused + ", otherwise " + other + "; the store has "
                + bed.store().bytes("sub/") + " bytes of them");
    }

    /** Waits until a daemon that gets SIGTERM has been started again, and 5 s more. */
    private static void awaitRestart(Bed bed, Daemon daemon, int starts) {
        double end = Bed.seconds() + 8;
        while (daemon.starts() < starts && Bed.seconds() < end) {
            Bed.sleep(100);
        }
        Bed.sleep(5000);
    }

    /** Asks for 20 accepted submissions; each call goes to the daemons in turn, for 4 s. */
    private static int countUnanswered(Bed bed, List<String> accepted) throws InterruptedException {
        AtomicInteger unanswered = new AtomicInteger();
        List<Thread> askers = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            int number = i;
            String path = accepted.get(i * (accepted.size() / 20));
            askers.add(Http.thread("ask", () -> {
                String last = "";
                double end = Bed.seconds() + 4;
                for (int attempt = 0; Bed.seconds() < end; attempt++) {
                    Http.Response response = bed.call(bed.daemons().get((number + attempt) % 2), "GET", path, "");
                    if (response.isSuccess()) {
                        return;
                    }
                    last = response.status() + " " + response.body();
                    Bed.sleep(200);
                }
                unanswered.incrementAndGet();
                bed.record("GET " + path + " is not answered for 4 s, at last: " + last);
            }));
        }
        for (Thread asker : askers) {
            asker.join();
        }
        return unanswered.get();
    }

    /** Counts the submissions that last of which nothing runs for 3 s. */
    private static int countIdle(Bed bed, List<String> lasting) {
        Map<String, Boolean> seen = new LinkedHashMap<>();
        for (double end = Bed.seconds() + 3.2; Bed.seconds() < end; Bed.sleep(50)) {
            for (Worker worker : bed.workers()) {
                for (String id : lasting) {
                    seen.merge(id, worker.runsOf(id) > 0, Boolean::logicalOr);
                }
            }
        }
        return (int) lasting.stream().filter(id -> !seen.getOrDefault(id, false)).count();
    }
}
