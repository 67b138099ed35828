package org.crocusgrade.daemon.batch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.crocusgrade.core.customer.Customer;
import org.crocusgrade.core.customer.cap.CapGrant;
import org.crocusgrade.core.customer.cap.CapLedger;
import org.crocusgrade.core.customer.cap.CapUsage;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.schedule.CapStartLimits;
import org.crocusgrade.core.schedule.CustomerDemand;
import org.crocusgrade.core.schedule.PoolScheduler;
import org.crocusgrade.daemon.log.Event;
import org.crocusgrade.peer.proto.CapGrantMessage;
import org.crocusgrade.peer.proto.PoolStatusMessage;

/** Applies and reports the limits of customers with a resource cap, for the owner of one pool. */
final class PoolCaps {
    /** Interval at which an unchanged state is reported again, in nanoseconds. */
    private static final long REPEAT_NANOS = 500_000_000L;

    /** Minimum interval between log lines on the wait of one customer, in nanoseconds. */
    private static final long LOG_NANOS = 1_000_000_000L;

    private final BatchRuntime runtime;
    private final ServiceId service;
    private final PoolScheduler scheduler;
    private final QueueRegistry queues;
    private final CapLedger ledger;
    private final Map<CustomerId, Wait> waits = new HashMap<>();
    private long configVersion = -1;
    private Optional<State> reported = Optional.empty();
    private long reportedNanos;

    PoolCaps(
            BatchRuntime runtime,
            ServiceId service,
            long ownerToken,
            PoolScheduler scheduler,
            QueueRegistry queues) {
        this.runtime = runtime;
        this.service = service;
        this.scheduler = scheduler;
        this.queues = queues;
        ledger = new CapLedger(ownerToken);
        updateCapped();
        scheduler.setLimits(new CapStartLimits(ledger));
    }

    /** Reads the customers with a cap from the configuration, if it has changed. */
    void updateCapped() {
        if (queues.table().version() == configVersion) {
            return;
        }
        configVersion = queues.table().version();
        Set<CustomerId> capped = new HashSet<>();
        for (Customer customer : queues.table().customers().customers()) {
            customer.effectiveCap().ifPresent(c -> capped.add(customer.id()));
        }
        ledger.setCapped(capped);
    }

    /**
     * Applies a grant; returns false if it is outdated or for another ownership.
     *
     * @param fleetToken the token of the fleet duty's holder, as far as this daemon knows
     */
    boolean onGrant(CapGrantMessage message, long fleetToken) {
        ledger.requireToken(fleetToken);
        CapGrant grant = CapMessages.grant(message);
        if (ledger.onGrant(grant)) {
            return true;
        }
        runtime.log().log(
                Event.REPORT_IGNORED,
                "pool",
                service,
                "what",
                "cap-grant",
                "token",
                grant.token(),
                "latest-token",
                Math.max(fleetToken, ledger.grantToken()));
        return false;
    }

    /** Adds what customers with a cap use and want, if it has changed or is to be repeated. */
    void addTo(PoolStatusMessage.Builder status) {
        updateCapped();
        if (ledger.isEmpty() && ledger.grantToken() == 0) {
            return;
        }
        long now = runtime.clock().nanoTime();
        State state = state(now);
        boolean unchanged = reported.equals(Optional.of(state));
        if (unchanged && now - reportedNanos < REPEAT_NANOS) {
            return;
        }
        reported = Optional.of(state);
        reportedNanos = now;
        status.setCapToken(state.grantToken)
                .setCapSequence(state.grantSequence)
                .setSettled(state.settled);
        state.usage.forEach((c, u) -> status.addCustomers(CapMessages.message(c, u)));
    }

    private State state(long now) {
        Set<CustomerId> limited = ledger.limited();
        Map<CustomerId, CapUsage> usage = new HashMap<>();
        if (!limited.isEmpty()) {
            CustomerDemand.Snapshot demand = scheduler.demand(limited, now, runtime.clock().now());
            for (CustomerId customer : limited) {
                CapUsage used =
                        new CapUsage(
                                scheduler.running(customer),
                                demand.wanted(customer),
                                ledger.limit(customer));
                if (!used.isNone()) {
                    usage.put(customer, used);
                }
                logWait(customer, used, demand.waiting().contains(customer), now);
            }
        }
        waits.keySet().retainAll(limited);
        return new State(ledger.grantToken(), ledger.grantSequence(), scheduler.isSettled(), usage);
    }

    private void logWait(CustomerId customer, CapUsage usage, boolean waiting, long now) {
        Wait wait = waits.get(customer);
        boolean logged = wait != null && wait.waiting;
        if (logged == waiting || wait != null && now - wait.loggedNanos < LOG_NANOS) {
            return;
        }
        waits.put(customer, new Wait(waiting, now));
        runtime.log().log(
                waiting ? Event.CAP_WAIT_STARTED : Event.CAP_WAIT_ENDED,
                "pool",
                service,
                "customer",
                customer,
                "running",
                CapGrants.text(usage.running()),
                "wanted",
                CapGrants.text(usage.wanted()),
                "granted",
                CapGrants.text(usage.granted()));
    }

    private record State(
            long grantToken, long grantSequence, boolean settled, Map<CustomerId, CapUsage> usage) {
        private State {
            usage = Map.copyOf(usage);
        }
    }

    private record Wait(boolean waiting, long loggedNanos) {}
}
