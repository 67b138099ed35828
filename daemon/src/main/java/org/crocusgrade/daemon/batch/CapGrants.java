package org.crocusgrade.daemon.batch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.crocusgrade.core.config.PoolPolicy;
import org.crocusgrade.core.config.QueueTable;
import org.crocusgrade.core.customer.Customer;
import org.crocusgrade.core.customer.ResourceCap;
import org.crocusgrade.core.customer.cap.CapAllocator;
import org.crocusgrade.core.customer.cap.CapReport;
import org.crocusgrade.core.customer.cap.CapUsage;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.port.Clock;
import org.crocusgrade.core.submission.Resources;
import org.crocusgrade.daemon.log.Event;
import org.crocusgrade.daemon.log.EventLog;
import org.crocusgrade.peer.proto.CapGrantMessage;
import org.crocusgrade.peer.proto.PoolStatusMessage;

/**
 * Sends the owners of pools their parts of customers' resource caps, while this daemon holds the
 * fleet duty. Needs no answer of the store: owners obey the holder with the highest token that they
 * have seen.
 */
final class CapGrants {
    /** Minimum interval between log lines for the same customer and pool, in nanoseconds. */
    private static final long LOG_NANOS = 1_000_000_000L;

    private final Clock clock;
    private final EventLog log;
    private final Consumer<CapGrantMessage> sender;
    private final Map<ServiceId, Map<CustomerId, Line>> lines = new TreeMap<>();
    private Set<ServiceId> pools = Set.of();
    private Map<CustomerId, ResourceCap> caps = Map.of();
    private Optional<CapAllocator> allocator = Optional.empty();

    CapGrants(Clock clock, EventLog log, Consumer<CapGrantMessage> sender) {
        this.clock = clock;
        this.log = log;
        this.sender = sender;
    }

    /** Begins an ownership of the fleet duty, without knowledge of earlier grants. */
    void start(long token) {
        allocator = Optional.of(new CapAllocator(token));
        lines.clear();
        applyConfiguration();
    }

    /** Ends the ownership. */
    void stop() {
        allocator = Optional.empty();
    }

    /** Sets the configuration in force. */
    void configure(QueueTable table) {
        Set<ServiceId> owned = new HashSet<>();
        for (PoolPolicy pool : table.pools().values()) {
            if (!pool.standby()) {
                owned.add(pool.service());
            }
        }
        Map<CustomerId, ResourceCap> limited = new HashMap<>();
        for (Customer customer : table.customers().customers()) {
            customer.effectiveCap().ifPresent(c -> limited.put(customer.id(), c));
        }
        pools = owned;
        caps = limited;
        applyConfiguration();
    }

    private void applyConfiguration() {
        allocator.ifPresent(a -> a.configure(pools, caps, clock.nanoTime()));
    }

    /** Processes a report of a pool's present owner. */
    void onReport(PoolStatusMessage status) {
        if (allocator.isEmpty()) {
            return;
        }
        long now = clock.nanoTime();
        Optional<CapReport> report = CapMessages.report(status);
        if (report.isPresent()) {
            allocator.get().onReport(report.get(), now);
        } else {
            ServiceId pool = new ServiceId(status.getService());
            allocator.get().onOwner(pool, status.getToken(), now);
        }
    }

    /** Sends grants that have changed, and those that no report reflects. */
    void tick() {
        if (allocator.isEmpty()) {
            return;
        }
        for (CapAllocator.Addressed grant : allocator.get().round(clock.nanoTime())) {
            Map<CustomerId, Line> sent = lines.computeIfAbsent(grant.pool(), p -> new TreeMap<>());
            grant.grant()
                    .limits()
                    .forEach(
                            (customer, limit) ->
                                    limit.ifPresent(
                                            l ->
                                                    sent.computeIfAbsent(customer, c -> new Line())
                                                                    .granted =
                                                            l));
            sender.accept(CapMessages.message(grant.pool(), grant.grant()));
        }
        lines.forEach((pool, sent) -> sent.forEach((c, line) -> logChange(pool, c, line)));
    }

    private void logChange(ServiceId pool, CustomerId customer, Line line) {
        long now = clock.nanoTime();
        Optional<ResourceCap> cap = allocator.flatMap(a -> a.cap(customer));
        boolean recent = line.loggedNanos.filter(at -> now - at < LOG_NANOS).isPresent();
        if (recent || cap.isEmpty() || line.granted.equals(line.logged)) {
            return;
        }
        line.logged = line.granted;
        line.loggedNanos = Optional.of(now);
        CapUsage usage = allocator.get().usage(pool, customer);
        log.log(
                Event.CAP_GRANTED,
                "pool",
                pool,
                "customer",
                customer,
                "running",
                text(usage.running()),
                "wanted",
                text(usage.wanted()),
                "granted",
                text(line.granted),
                "cap",
                text(
                        new Resources(
                                cap.get().milliCores(),
                                cap.get().memoryMb(),
                                cap.get().accelerators())));
    }

    /** Returns processors, memory in MB and accelerators; "-" for those without a limit. */
    static String text(Resources resources) {
        return amount(resources.milliCores(), CapAllocator.UNLIMITED)
                + "m/"
                + amount(resources.memoryMb(), CapAllocator.UNLIMITED)
                + "MB/"
                + amount(resources.accelerators(), Integer.MAX_VALUE);
    }

    private static String amount(long value, long unlimited) {
        return value >= unlimited ? "-" : Long.toString(value);
    }

    private static final class Line {
        private Resources granted = Resources.NONE;
        private Resources logged = Resources.NONE;
        private Optional<Long> loggedNanos = Optional.empty();
    }
}
