package org.crocusgrade.core.schedule;

import static org.crocusgrade.core.schedule.Pool.end;
import static org.crocusgrade.core.schedule.Pool.step;
import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.submission.TaskEnd.Result;
import org.junit.jupiter.api.Test;

/** Which requests are sent to the advice service, and which starts its answers allow. */
class AdvicePlannerTest {
    private static final int REQUEST_LIMIT = 100;

    private final Pool pool = Pool.advised();

    @Test
    void tasksStartOnlyOnAllowedWorkersAndWithTheirTickets() {
        pool.worker("w1", "r1");
        WorkerNode allowed = pool.worker("w2", "r1");
        pool.submit(false, step(3, 1000));
        assertThat(pool.starts(), empty());
        AdviceRequest request = pool.adviceRequests(REQUEST_LIMIT).get(0);
        assertThat(request.workerIds(), hasSize(2));
        pool.advise(request, "w2");
        List<Placement> starts = pool.starts();
        assertThat(starts, hasSize(3));
        for (Placement start : starts) {
            assertThat(start.worker(), is(allowed));
            assertThat(start.ticket(), is(Optional.of("ticket-1")));
        }
    }

    @Test
    void queueWithoutAdvicePolicySendsNoRequest() {
        Pool free = Pool.settled();
        free.worker("w1", "r1");
        free.submit(false, step(3, 1000));
        assertThat(free.adviceRequests(REQUEST_LIMIT), empty());
        assertThat(free.starts(), hasSize(3));
    }

    @Test
    void stepHasOnePendingRequestAtATime() {
        pool.worker("w1", "r1");
        pool.submit(false, step(3, 1000));
        assertThat(pool.adviceRequests(REQUEST_LIMIT), hasSize(1));
        assertThat(pool.adviceRequests(REQUEST_LIMIT), empty());
    }

    @Test
    void noRequestForStepThatWaitsForAnother() {
        pool.worker("w1", "r1");
        pool.submit(false, step(1, 1000), step(1, 1000, 0));
        List<AdviceRequest> requests = pool.adviceRequests(REQUEST_LIMIT);
        assertThat(requests, hasSize(1));
        assertThat(requests.get(0).stepId().step(), is(0));
    }

    @Test
    void deniedWorkersAreNeverRequestedAgain() {
        for (int i = 1; i <= 20; i++) {
            pool.worker("w" + i, "r1");
        }
        pool.submit(false, step(1, 1000));
        AdviceRequest first = pool.adviceRequests(REQUEST_LIMIT).get(0);
        assertThat("a small step names few workers", first.workers().size(), lessThanOrEqualTo(6));
        pool.advise(first);
        AdviceRequest second = pool.adviceRequests(REQUEST_LIMIT).get(0);
        for (WorkerId worker : first.workerIds()) {
            assertThat(second.workerIds(), not(hasItem(worker)));
        }
    }

    @Test
    void expiredTicketIsRequestedAgain() {
        pool.worker("w1", "r1");
        pool.submit(false, step(1, 1000));
        pool.advise(pool.adviceRequests(REQUEST_LIMIT).get(0), "w1");
        pool.advance(Pool.TICKET_VALIDITY.minusMillis(200));
        assertThat("the ticket would expire before the start arrives", pool.starts(), empty());
        AdviceRequest again = pool.adviceRequests(REQUEST_LIMIT).get(0);
        assertThat(again.workerIds(), contains(new WorkerId("w1")));
        pool.advise(again, "w1");
        assertThat(pool.starts(), hasSize(1));
    }

    @Test
    void ticketRejectedByItsWorkerIsRequestedAgain() {
        pool.worker("w1", "r1");
        pool.submit(false, step(1, 1000));
        pool.advise(pool.adviceRequests(REQUEST_LIMIT).get(0), "w1");
        pool.answer(pool.starts().get(0), StartAnswer.NO_TICKET);
        pool.advance(Duration.ofMillis(200));
        assertThat(pool.starts(), empty());
        pool.advise(pool.adviceRequests(REQUEST_LIMIT).get(0), "w1");
        assertThat(pool.starts().get(0).ticket(), is(Optional.of("ticket-2")));
    }

    @Test
    void nextIncarnationOfWorkerNeedsItsOwnTicket() {
        WorkerNode last = pool.worker("w1", "r1");
        pool.submit(false, step(1, 1000));
        pool.advise(pool.adviceRequests(REQUEST_LIMIT).get(0), "w1");
        pool.scheduler.removeWorker(last);
        pool.worker("w1", "r1");
        assertThat(pool.starts(), empty());
        pool.advise(pool.adviceRequests(REQUEST_LIMIT).get(0), "w1");
        assertThat(pool.starts(), hasSize(1));
    }

    @Test
    void unansweredRequestIsSentAgainAfterDelay() {
        pool.worker("w1", "r1");
        pool.submit(false, step(1, 1000));
        pool.scheduler.onAdvice(
                pool.adviceRequests(REQUEST_LIMIT).get(0), Optional.empty(), pool.now());
        assertThat(pool.adviceRequests(REQUEST_LIMIT), empty());
        pool.advance(Duration.ofMillis(250));
        assertThat(pool.adviceRequests(REQUEST_LIMIT), hasSize(1));
    }

    /** In a surge, more steps wait than requests can be open at once. */
    @Test
    void requestsForMostUrgentSubmissionsComeFirst() {
        pool.worker("w1", "r1");
        for (int i = 0; i < 30; i++) {
            pool.submit(false, step(4, 8000));
        }
        TrackedSubmission small = pool.submit(false, step(1, 1000));
        List<AdviceRequest> requests = pool.adviceRequests(2);
        assertThat(requests, hasSize(2));
        assertThat(requests.get(0).step().submission(), is(small));
    }

    @Test
    void noRequestWhileAllowedWorkersHaveRoomForAllTasks() {
        WorkerNode worker = pool.worker("w1", "r1");
        pool.worker("w2", "r1");
        pool.submit(false, step(2, 1000));
        pool.advise(pool.adviceRequests(REQUEST_LIMIT).get(0), "w1");
        assertThat(pool.adviceRequests(REQUEST_LIMIT), empty());
        List<Placement> starts = pool.startAll();
        assertThat(pool.adviceRequests(REQUEST_LIMIT), empty());
        pool.report(worker, end(1, starts.get(0), Result.FAILED));
        assertThat(
                "the ticket is valid for the next start too",
                pool.adviceRequests(REQUEST_LIMIT),
                empty());
    }
}
