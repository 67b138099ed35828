package org.crocusgrade.bench.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;
import org.crocusgrade.core.config.ServiceConfig.Needs;
import org.crocusgrade.core.dispatch.Request;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.id.RequestId;

/**
 * A seeded list of requests with the time that each really runs.
 *
 * @param arrivals the requests in order of time
 */
public record Schedule(List<Arrival> arrivals) {
    private static final double SPREAD = 0.5;
    private static final double IDEMPOTENT_SHARE = 0.5;

    /** Copies the list. */
    public Schedule {
        arrivals = List.copyOf(arrivals);
    }

    /**
     * One request.
     *
     * @param atNanos when it comes
     * @param request what it is
     * @param runNanos how long it runs
     */
    public record Arrival(long atNanos, Request request, long runNanos) {}

    /**
     * What a schedule is drawn from.
     *
     * @param phases the load over time
     * @param perSecond arrivals a second at a load factor of 1
     * @param meanRun the mean run time, log-normal
     * @param shortestDeadline the shortest time to answer in; the longest is four times it
     * @param customers customers, the n-th with a weight of 1/n
     * @param urgentShare the share of urgent requests
     */
    public record Spec(
            List<Phase> phases,
            double perSecond,
            Duration meanRun,
            Duration shortestDeadline,
            int customers,
            double urgentShare) {}

    /**
     * A time with one load.
     *
     * @param length how long
     * @param factor the load factor
     */
    public record Phase(Duration length, double factor) {}

    /** Draws a schedule. */
    public static Schedule draw(Spec spec, long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        List<Arrival> arrivals = new ArrayList<>();
        long start = 0;
        for (Phase phase : spec.phases()) {
            long end = start + phase.length().toNanos();
            double gap = 1e9 / (spec.perSecond() * phase.factor());
            double at = start + gap * exponential(random);
            while (at < end) {
                arrivals.add(arrival(spec, random, (long) at, arrivals.size()));
                at += gap * exponential(random);
            }
            start = end;
        }
        return new Schedule(arrivals);
    }

    private static Arrival arrival(Spec spec, UniformRandomProvider random, long at, int number) {
        double scale = spec.meanRun().toNanos() * Math.exp(-SPREAD * SPREAD / 2);
        double normal =
                Math.sqrt(2 * exponential(random)) * Math.cos(2 * Math.PI * random.nextDouble());
        long run = (long) (scale * Math.exp(SPREAD * normal));
        double deadline = spec.shortestDeadline().toNanos() * (1 + 3 * random.nextDouble());
        Request request =
                new Request(
                        new RequestId("r" + number),
                        customer(spec.customers(), random),
                        at + (long) deadline,
                        random.nextDouble() < spec.urgentShare(),
                        random.nextDouble() < IDEMPOTENT_SHARE,
                        Optional.empty(),
                        new Needs(1, 0, 0));
        return new Arrival(at, request, run);
    }

    private static CustomerId customer(int customers, UniformRandomProvider random) {
        double total = 0;
        for (int i = 1; i <= customers; i++) {
            total += 1.0 / i;
        }
        double left = random.nextDouble() * total;
        int number = 1;
        while (number < customers && left > 1.0 / number) {
            left -= 1.0 / number;
            number++;
        }
        return new CustomerId("c" + number);
    }

    private static double exponential(UniformRandomProvider random) {
        return -Math.log(1 - random.nextDouble());
    }
}
