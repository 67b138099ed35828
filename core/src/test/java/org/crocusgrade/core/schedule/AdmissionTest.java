package org.crocusgrade.core.schedule;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.crocusgrade.core.config.QueueRoute;
import org.crocusgrade.core.submission.StepSpec;
import org.crocusgrade.core.submission.SubmissionSpec;
import org.junit.jupiter.api.Test;

/** A surge of several times the pool: what cannot end in time is refused at the door. */
class AdmissionTest {
    private static final QueueRoute ROUTE =
            new QueueRoute(
                    Pool.QUEUE,
                    "host",
                    "/q/",
                    Pool.SERVICE,
                    0,
                    3,
                    2.0,
                    Duration.ofSeconds(1),
                    Duration.ofSeconds(3),
                    Optional.empty());

    private final Admission admission = new Admission(new Outlook(new RunTimeModel()));

    @Test
    void whatTheBacklogLeavesTimeForIsTaken() {
        assertThat(refuse(Pool.step(4, 2000), 100_000, 50), is(Optional.empty()));
    }

    @Test
    void whatWouldEndTooLateIsRefusedUntilTheBacklogHasShrunk() {
        Optional<Duration> soon = refuse(Pool.step(4, 2000), 700_000, 50);
        Optional<Duration> later = refuse(Pool.step(4, 2000), 1_400_000, 50);
        assertThat(soon.isPresent(), is(true));
        assertThat(later.orElseThrow(), greaterThan(soon.orElseThrow()));
    }

    @Test
    void longRunningSubmissionsAreAlwaysTaken() {
        StepSpec step = new StepBuilder(4, 2000).longRunning(1).build();
        assertThat(refuse(step, 9_000_000, 1), is(Optional.empty()));
    }

    private Optional<Duration> refuse(StepSpec step, double ahead, double cores) {
        SubmissionSpec spec = new SubmissionSpec("", List.of(step), Optional.empty());
        return admission.refuse(ROUTE, spec, ahead, cores);
    }
}
