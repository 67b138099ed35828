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
 * A reproducible list of requests with their actual run times.
 *
 * @param arrivals the requests in order of arrival
 */
public record Schedule(List<Arrival> arrivals) {
    private static final double RUN_TIME_SIGMA = 0.5;
    private static final double IDEMPOTENT_SHARE = 0.5;

    public Schedule {
        arrivals = List.copyOf(arrivals);
    }

    /**
     * The arrival of a request.
     *
     * @param atNanos the arrival time
     * @param request the request as the dispatcher sees it
     * @param runNanos the actual run time, which the dispatcher does not see
     */
    public record Arrival(long atNanos, Request request, long runNanos) {}

    /**
     * Parameters of a generated schedule. Arrivals are a Poisson process. Run times are log-normal
     * with a sigma of 0.5, deadlines uniform, and half of the requests idempotent.
     *
     * @param phases the load over time
     * @param arrivalsPerSecond arrivals per second at a load factor of 1
     * @param meanRun the mean run time
     * @param shortestDeadline the minimum time from arrival to deadline; the maximum is four times
     *     it
     * @param customers number of customers; the n-th has a weight of 1/n
     * @param urgentShare the share of urgent requests
     */
    public record Spec(
            List<Phase> phases,
            double arrivalsPerSecond,
            Duration meanRun,
            Duration shortestDeadline,
            int customers,
            double urgentShare) {}

    /**
     * An interval of constant load.
     *
     * @param length its length
     * @param factor the multiple of the base arrival rate
     */
    public record Phase(Duration length, double factor) {}

    /** Generates a schedule; the same parameters and seed give the same schedule. */
    public static Schedule generate(Spec spec, long seed) {
        UniformRandomProvider random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
        List<Arrival> arrivals = new ArrayList<>();
        long start = 0;
        for (Phase phase : spec.phases()) {
            long end = start + phase.length().toNanos();
            double meanGapNanos = 1e9 / (spec.arrivalsPerSecond() * phase.factor());
            double at = start + meanGapNanos * exponential(random);
            while (at < end) {
                arrivals.add(arrival(spec, random, (long) at, arrivals.size()));
                at += meanGapNanos * exponential(random);
            }
            start = end;
        }
        return new Schedule(arrivals);
    }

    private static Arrival arrival(Spec spec, UniformRandomProvider random, long at, int number) {
        double medianRunNanos =
                spec.meanRun().toNanos() * Math.exp(-RUN_TIME_SIGMA * RUN_TIME_SIGMA / 2);
        double normal =
                Math.sqrt(2 * exponential(random)) * Math.cos(2 * Math.PI * random.nextDouble());
        long run = (long) (medianRunNanos * Math.exp(RUN_TIME_SIGMA * normal));
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
        double remaining = random.nextDouble() * total;
        int number = 1;
        while (number < customers && remaining > 1.0 / number) {
            remaining -= 1.0 / number;
            number++;
        }
        return new CustomerId("c" + number);
    }

    private static double exponential(UniformRandomProvider random) {
        return -Math.log(1 - random.nextDouble());
    }
}
