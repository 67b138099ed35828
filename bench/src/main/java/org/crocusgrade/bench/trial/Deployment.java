package org.crocusgrade.bench.trial;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.Region;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.standin.StandinFleet;
import org.crocusgrade.standin.load.QueueLoad;

/** The two reference deployments: their zones, workers, services and callers. */
public enum Deployment {
    /** Wool auctions in Bretagne. */
    LAINEFLUX(
            "bretagne",
            List.of("rennes", "brest", "vannes"),
            32,
            128,
            List.of(
                    new Queue("lot-valuation", 6, 200, 5, 0.8),
                    new Queue("fleece-classing", 6, 300, 5, 0.9),
                    new Queue("clip-accounts", 8, 800, 30, 0.3),
                    new Queue("mill-sales", 9, 300, 10, 0.3),
                    new Queue("broker-desk", 6, 100, 10, 0.9))),
    /** Bookings in Khomas. */
    AUTHORITY(
            "khomas",
            List.of("khomas-1", "khomas-2", "khomas-3"),
            16,
            64,
            List.of(
                    new Queue("slot-holds", 6, 150, 5, 0.3),
                    new Queue("group-bookings", 6, 400, 10, 0.3),
                    new Queue("walk-in-counter", 8, 200, 5, 0.7),
                    new Queue("tour-operators", 9, 300, 10, 0.5),
                    new Queue("clerk-desk", 6, 100, 10, 0.9)));

    /** The fraction of a pool's slots that the mean demand of its queue occupies. */
    private static final double MEAN_SLOT_UTILISATION = 0.3;

    private static final int WORKERS = 35;

    /** One service, the workers that its demand is sized for, and the calls to it. */
    private record Queue(
            String service, int workers, int workMs, int timeoutSeconds, double idempotentShare) {}

    private final Region region;
    private final StandinFleet.Spec fleet;
    private final List<Queue> queues;

    Deployment(String region, List<String> zones, int cores, int memoryGib, List<Queue> queues) {
        this.region = new Region(region);
        List<AvailabilityZone> ids = zones.stream().map(AvailabilityZone::new).toList();
        this.fleet = new StandinFleet.Spec(ids, WORKERS, cores, (long) memoryGib << 30);
        this.queues = queues;
    }

    public Region region() {
        return region;
    }

    /** Returns its workers. */
    public StandinFleet.Spec fleet() {
        return fleet;
    }

    /** Returns the service whose pool is the spare pool. */
    public ServiceId spare() {
        return new ServiceId(queues.get(queues.size() - 1).service());
    }

    /** Returns the load that its callers put on each service. */
    public List<QueueLoad> loads() {
        List<QueueLoad> loads = new ArrayList<>();
        for (Queue queue : queues) {
            double slots = queue.workers() * StandinFleet.SLOTS;
            loads.add(
                    new QueueLoad(
                            new ServiceId(queue.service()),
                            slots * MEAN_SLOT_UTILISATION * 1000 / queue.workMs(),
                            Duration.ofMillis(queue.workMs()),
                            Duration.ofSeconds(queue.timeoutSeconds()),
                            queue.idempotentShare()));
        }
        return loads;
    }

    /** Reads its sample files, one for each service and one for the fleet, by resource name. */
    public Map<String, String> samples() throws TrialException {
        Map<String, String> texts = new LinkedHashMap<>();
        String folder = "samples/" + name().toLowerCase() + "/";
        for (Queue queue : queues) {
            String name = folder + queue.service() + ".ini";
            texts.put(name, read(name));
        }
        String policy = folder + "fleet.ini";
        texts.put(policy, read(policy));
        return texts;
    }

    private static String read(String name) throws TrialException {
        try (InputStream in = Deployment.class.getClassLoader().getResourceAsStream(name)) {
            if (in == null) {
                throw new TrialException("sample file is missing: " + name);
            }
            return new String(in.readAllBytes(), StandardCharsets.UTF_8);
        } catch (IOException e) {
            throw new TrialException("sample file cannot be read: " + name, e);
        }
    }
}
