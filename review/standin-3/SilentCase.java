package bed;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.atomic.AtomicInteger;

/** Case 15: the open channels to the store go silent; then the operator adds a queue. */
final class SilentCase {
    private static final double CONTACT_S = 3.0;
    private static final double APPLY_S = 2.0;
    private static final double PER_S = 20;
    private static final int ROUNDS = 3;

    private SilentCase() {}

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
        List<Proxy> proxies = new ArrayList<>();
        for (String zone : List.of("a", "b", "a")) {
            Proxy proxy = new Proxy(bed.host(), bed.store().address());
            proxies.add(proxy);
            bed.addDaemon(zone, proxy.address()).start();
        }
        if (!bed.awaitService("q1", 20_000)) {
            return 2;
        }
        AtomicInteger next = new AtomicInteger();
        String body = "{\"spec\":\"ms=500 work\",\"steps\":[{\"count\":2,\"cpu\":500,\"mem_mb\":64,\"est_runtime_ms\":500}]}";
        long begun = System.nanoTime();
        for (int i = 0; i < 8; i++) {
            Http.thread("client", () -> {
                while ((System.nanoTime() - begun) / 1e9 < 12) {
                    int n = next.getAndIncrement();
                    Bed.sleep((long) (n / PER_S * 1000 - (System.nanoTime() - begun) / 1e6));
                    String path = "/q" + (n % 5 + 1) + "/" + String.format("%016x", 0x1000_0000L + n);
                    bed.call(bed.daemons().get(n % 3), "POST", path, body);
                }
            });
        }
        Bed.sleep(16_000);
        boolean broken = false;
        for (int round = 1; round <= ROUNDS; round++) {
            double silentAt = Bed.seconds();
            if (trouble) {
                for (Proxy proxy : proxies) {
                    bed.record("the open channels to the store of one daemon go silent: " + proxy.silence());
                }
            }
            Bed.sleep(300);
            queues.put("added" + round, "s1");
            bed.configure(7 + round * 3L, queues, services);
            double ackedAt = Bed.seconds();
            // In touch again, and the bound of the configuration has passed.
            double judgedFrom = Math.max(ackedAt + APPLY_S, silentAt + CONTACT_S) + 0.02;
            Bed.sleep((long) ((judgedFrom - Bed.seconds()) * 1000));
            while (Bed.seconds() < judgedFrom + 8) {
                for (Daemon daemon : bed.daemons()) {
                    double sent = Bed.seconds();
                    Http.Response response = bed.call(daemon, "GET", "/added" + round + "/", "");
                    if (response.status() == 404) {
                        broken = true;
                        bed.record(String.format(
                                "%s: GET /added%d/ sent %.2f s after the acknowledgement, %.2f s after the silence: 404",
                                daemon.name(), round, sent - ackedAt, sent - silentAt));
                    }
                }
                Bed.sleep(20);
            }
        }
        return broken ? 1 : 0;
    }
}
