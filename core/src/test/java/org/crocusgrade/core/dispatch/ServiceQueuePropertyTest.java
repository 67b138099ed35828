package org.crocusgrade.core.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import net.jqwik.api.Arbitraries;
import net.jqwik.api.Arbitrary;
import net.jqwik.api.Combinators;
import net.jqwik.api.ForAll;
import net.jqwik.api.From;
import net.jqwik.api.Property;
import net.jqwik.api.Provide;
import net.jqwik.api.Tuple;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;
import org.apache.commons.rng.simple.RandomSource;
import org.crocusgrade.core.config.ServiceClass;
import org.crocusgrade.core.config.ServiceConfig.Needs;
import org.crocusgrade.core.config.ServiceConfig.Quota;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.id.RequestId;
import org.crocusgrade.core.id.WorkerId;

/** Applies random event sequences to a queue; {@link CheckedWorkers} checks every action. */
class ServiceQueuePropertyTest {
    private static final long MILLI = 1_000_000L;
    private static final long FAR_NANOS = Long.MAX_VALUE / 4;
    private static final Needs SIZE = new Needs(4, 0, 0);

    /** One random event; each kind interprets the numbers differently. */
    private record Event(int kind, int a, int b, int c) {}

    @Provide
    Arbitrary<Event> events() {
        return Combinators.combine(
                        Arbitraries.frequency(
                                Tuple.of(6, 0),
                                Tuple.of(6, 1),
                                Tuple.of(2, 2),
                                Tuple.of(1, 3),
                                Tuple.of(3, 4)),
                        Arbitraries.integers().between(0, 15),
                        Arbitraries.integers().between(0, 15),
                        Arbitraries.integers().between(0, 400))
                .as(Event::new);
    }

    @Property(seed = "1", tries = 1500)
    void everyRequestIsAnsweredOnceAndTruthfully(
            @ForAll @Size(max = 150) List<@From("events") Event> events,
            @ForAll boolean cancelRunning,
            @ForAll @IntRange(min = 1, max = 12) int bound) {
        Map<CustomerId, Quota> quotas = Map.of(new CustomerId("c1"), new Quota(2));
        QueueSettings settings =
                new QueueSettings(
                        ServiceClass.PROMPT,
                        bound,
                        Duration.ofMillis(20),
                        cancelRunning,
                        quotas,
                        Optional.of(new AvailabilityZone("az0")),
                        1);
        CheckedWorkers workers = workers(settings);
        int number = 0;
        for (Event event : events) {
            apply(event, workers, number++);
            assertThat(slotsHeld(workers, "c1"), is(lessThanOrEqualTo(2L)));
        }
        drain(workers);
        workers.requireAllAnswered();
    }

    private static long slotsHeld(CheckedWorkers workers, String customer) {
        return workers.running.values().stream()
                .filter(a -> a.request().customer().value().equals(customer))
                .count();
    }

    private static void apply(Event event, CheckedWorkers workers, int number) {
        switch (event.kind()) {
            case 0:
                workers.offer(
                        new Request(
                                new RequestId("r" + number),
                                new CustomerId("c" + event.a() % 4),
                                workers.now + event.c() * MILLI,
                                (event.b() & 1) == 0,
                                (event.b() & 2) == 0,
                                Optional.empty(),
                                new Needs(1 + event.b() / 3, 0, 0)));
                return;
            case 1:
                if (!workers.running.isEmpty()) {
                    List<RequestId> ids = List.copyOf(workers.running.keySet());
                    RunEnd[] ends = RunEnd.values();
                    RunEnd end = event.b() < 6 ? RunEnd.ANSWERED : ends[event.b() % ends.length];
                    workers.end(ids.get(event.a() % ids.size()), end);
                }
                return;
            case 2:
                workers.grant(grant("w" + event.a() % 4, event.b() % 4, workers.now + 50 * MILLI));
                return;
            case 3:
                workers.cancel(new RequestId("r" + Math.max(0, number - 1 - event.a())));
                return;
            default:
                workers.advance(workers.now + event.c() * MILLI / 8);
        }
    }

    private static WorkerGrant grant(String worker, int slots, long until) {
        return new WorkerGrant(
                new WorkerId(worker),
                new AvailabilityZone("az" + worker.charAt(1)),
                SIZE,
                slots,
                until);
    }

    private static CheckedWorkers workers(QueueSettings settings) {
        CheckedWorkers workers = new CheckedWorkers();
        workers.mayCancel = settings.cancelRunning();
        workers.attach(new ServiceQueue(settings, workers, RandomSource.JDK.create(1)));
        return workers;
    }

    private static void drain(CheckedWorkers workers) {
        workers.advance(workers.now + 1000 * MILLI);
        for (RequestId id : List.copyOf(workers.running.keySet())) {
            workers.end(id, RunEnd.ANSWERED);
        }
    }

    @Property(seed = "1", tries = 100)
    void noCustomerStarves(
            @ForAll @IntRange(min = 1, max = 6) int slots,
            @ForAll @Size(min = 2, max = 8) List<@IntRange(min = 1, max = 30) Integer> backlog,
            @ForAll @IntRange(min = 20, max = 200) int rounds) {
        CheckedWorkers workers = workers(plain());
        workers.grant(grant("w0", slots, FAR_NANOS));
        Map<CustomerId, Integer> starts = new HashMap<>();
        int number = 0;
        for (int round = 0; round < rounds; round++) {
            for (int i = 0; i < backlog.size(); i++) {
                CustomerId customer = new CustomerId("c" + i);
                int wanted = round == 0 ? backlog.get(i) + slots : 1;
                for (int n = 0; n < wanted; n++) {
                    workers.offer(plain("r" + number++, customer, i % 2 == 0));
                }
            }
            workers.advance(workers.now + 10 * MILLI);
            for (RequestId id : List.copyOf(workers.running.keySet())) {
                Request request = workers.running.get(id).request();
                if (!request.urgent()) {
                    starts.merge(request.customer(), 1, Integer::sum);
                }
                workers.end(id, RunEnd.ANSWERED);
            }
        }
        int ordinary = backlog.size() / 2;
        int due =
                (rounds * slots - PriorityLevels.ORDINARY_START_INTERVAL)
                                / PriorityLevels.ORDINARY_START_INTERVAL
                                / ordinary
                        - slots;
        for (int i = 1; i < backlog.size(); i += 2) {
            int got = starts.getOrDefault(new CustomerId("c" + i), 0);
            assertThat(got, is(greaterThanOrEqualTo(Math.min(due, rounds))));
        }
    }

    @Property(seed = "1", tries = 100)
    void retriesStayWithinTheBudget(
            @ForAll @Size(max = 300) List<@IntRange(min = 0, max = 3) Integer> ends) {
        CheckedWorkers workers = workers(plain());
        workers.grant(grant("w0", 4, FAR_NANOS));
        workers.grant(grant("w1", 4, FAR_NANOS));
        int number = 0;
        for (int end : ends) {
            workers.offer(plain("r" + number++, new CustomerId("c"), false));
            workers.advance(workers.now + 100 * MILLI);
            RequestId id = workers.running.keySet().iterator().next();
            workers.end(id, end == 0 ? RunEnd.ANSWERED : RunEnd.ANSWER_CUT);
            long retries = workers.log.stream().filter(l -> l.contains(" retry ")).count();
            double most =
                    RetryBudget.INITIAL_TOKENS + RetryBudget.TOKENS_PER_FIRST_ATTEMPT * number;
            assertThat((double) retries, is(lessThanOrEqualTo(most + 1e-6)));
        }
    }

    @Property(seed = "1", tries = 200)
    void noSlotIdlesWhileWorkWaits(
            @ForAll @Size(max = 200) List<@IntRange(min = 0, max = 9) Integer> steps) {
        CheckedWorkers workers = workers(plain());
        workers.grant(grant("w0", 2, FAR_NANOS));
        workers.grant(grant("w1", 1, FAR_NANOS));
        int number = 0;
        for (int step : steps) {
            if (step < 5) {
                workers.offer(plain("r" + number++, new CustomerId("c" + step), step % 2 == 0));
            } else if (!workers.running.isEmpty()) {
                workers.end(workers.running.keySet().iterator().next(), RunEnd.ANSWERED);
            }
            workers.advance(workers.now + step * MILLI);
            int open = number - workers.answers.size();
            assertThat(workers.running.size(), is(Math.min(3, open)));
        }
        assertThat(workers.answers.values(), everyItem(is(Reason.OK)));
    }

    private static QueueSettings plain() {
        return new QueueSettings(
                ServiceClass.MUST_FINISH,
                100_000,
                Duration.ofMillis(10),
                false,
                Map.of(),
                Optional.empty(),
                1);
    }

    private static Request plain(String id, CustomerId customer, boolean urgent) {
        return new Request(
                new RequestId(id),
                customer,
                FAR_NANOS,
                urgent,
                true,
                Optional.empty(),
                new Needs(1, 0, 0));
    }
}
