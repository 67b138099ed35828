package org.crocusgrade.core.schedule;

import java.util.Optional;
import java.util.function.Supplier;
import org.crocusgrade.core.customer.Customer;
import org.crocusgrade.core.customer.CustomerDirectory;
import org.crocusgrade.core.schedule.FirstAttempts.Attempt;
import org.crocusgrade.core.submission.SubmissionId;
import org.crocusgrade.core.submission.SubmissionSpec;

/**
 * Decides which submissions a pool accepts, from its backlog, its recent capacity, and when each
 * submission was first attempted.
 */
final class PoolAdmission {
    private final PoolState pool;
    private final WorkEstimator estimator;
    private final SubmissionRanking ranking;
    private final Supplier<CustomerDirectory> customers;
    private final Admission admission;
    private final BacklogEstimator backlog;
    private final ArrivalMeter arrivals = new ArrivalMeter();
    private final RecentCapacity capacity = new RecentCapacity();
    private final RecentCapacity memory = new RecentCapacity();
    private final FirstAttempts attempts = new FirstAttempts();
    private final CustomerRates rates = new CustomerRates();

    PoolAdmission(
            PoolState pool,
            WorkEstimator estimator,
            SubmissionRanking ranking,
            Supplier<CustomerDirectory> customers) {
        this.pool = pool;
        this.estimator = estimator;
        this.ranking = ranking;
        this.customers = customers;
        admission = new Admission(estimator);
        backlog = new BacklogEstimator(pool, estimator, ranking);
    }

    /** Returns the work that callers have offered, accepted or not. */
    ArrivalMeter arrivals() {
        return arrivals;
    }

    /** Records that a submission was accepted, so that it is not attempted again. */
    void onAccepted(SubmissionId id) {
        attempts.remove(id);
    }

    /** Decides about an attempt; see {@link PoolScheduler#checkAdmission}. */
    AdmissionDecision decide(AdmissionRequest request, long now) {
        SubmissionSpec spec = request.spec();
        if (!spec.isLongRunning()) {
            arrivals.add(now, estimator.coreMillis(request.route().queue(), spec));
        }
        Attempt first = attempts.find(request.id()).orElseGet(() -> firstAttempt(request, now));
        BatchCapacity usable = updateCapacity(now);
        if (spec.isLongRunning() || spec.recurrence().isPresent()) {
            return Admission.acceptAlways(first, usable);
        }
        attempts.put(request.id(), first);
        Backlog ahead = backlog.ahead(ranking.rank(request, first), now);
        return admission.decide(request, first, ahead, usable);
    }

    private Attempt firstAttempt(AdmissionRequest request, long now) {
        CustomerDirectory directory = customers.get();
        rates.retain(directory);
        Optional<Customer> customer = request.customer().flatMap(directory::find);
        boolean batch = !request.spec().isLongRunning();
        boolean beyondRate =
                batch && customer.isPresent() && rates.isBeyondRate(customer.get(), now);
        return new Attempt(now, beyondRate);
    }

    /** Records the present capacity; returns what counts as usable after recent losses. */
    BatchCapacity updateCapacity(long now) {
        BatchCapacity present = pool.batchCapacity(now);
        return new BatchCapacity(
                capacity.usable(present.cores(), now), memory.usable(present.memoryMb(), now));
    }
}
