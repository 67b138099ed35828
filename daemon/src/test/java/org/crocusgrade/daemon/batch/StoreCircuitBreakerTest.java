package org.crocusgrade.daemon.batch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.time.Duration;
import org.junit.jupiter.api.Test;

/** Replays callers who come during an outage of the store and retry when they are asked to. */
class StoreCircuitBreakerTest {
    private static final int RETRIES = 4;
    private static final long NANOS_PER_SECOND = 1_000_000_000L;

    private final StoreCircuitBreaker breaker = new StoreCircuitBreaker();

    @Test
    void callersWhoComeDuringAnOutageAreAcceptedAfterIt() {
        for (double outage = 1; outage <= 5; outage += 0.25) {
            for (double arrival = 0; arrival < outage; arrival += 0.1) {
                assertThat(outage + ", " + arrival, acceptedAt(arrival, outage), is(true));
            }
        }
    }

    @Test
    void callersReturnWithinHalfOfTheTimeThatTheOutageHasLasted() {
        breaker.failed(nanos(0), nanos(0));
        breaker.failed(nanos(0), nanos(0));
        for (double age = 0; age < 20; age += 0.5) {
            double seconds = breaker.retryAfter(nanos(age)).toMillis() / 1000.0;
            assertThat(seconds, greaterThanOrEqualTo(1.0));
            assertThat(seconds, lessThanOrEqualTo(Math.max(1, Math.min(age / 2, 5))));
        }
        breaker.answered();
        assertThat(breaker.retryAfter(nanos(30)), is(Duration.ofSeconds(1)));
    }

    /** Returns whether a caller is accepted by one of its attempts. */
    private boolean acceptedAt(double arrival, double outage) {
        breaker.answered();
        breaker.failed(nanos(0), nanos(0));
        breaker.failed(nanos(0), nanos(0));
        double at = arrival;
        for (int attempt = 0; attempt <= RETRIES; attempt++) {
            if (at >= outage) {
                return true;
            }
            // Callers are told whole seconds, rounded up.
            at += Math.ceil(breaker.retryAfter(nanos(at)).toMillis() / 1000.0);
        }
        return false;
    }

    private static long nanos(double seconds) {
        return Math.round(seconds * NANOS_PER_SECOND);
    }
}
