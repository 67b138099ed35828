package org.crocusgrade.daemon.batch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.crocusgrade.core.customer.cap.CapGrant;
import org.crocusgrade.core.customer.cap.CapReport;
import org.crocusgrade.core.customer.cap.CapUsage;
import org.crocusgrade.core.id.CustomerId;
import org.crocusgrade.core.id.ServiceId;
import org.crocusgrade.core.submission.Resources;
import org.crocusgrade.peer.proto.CapGrantMessage;
import org.crocusgrade.peer.proto.CustomerGrantMessage;
import org.crocusgrade.peer.proto.CustomerUsageMessage;
import org.crocusgrade.peer.proto.PoolStatusMessage;
import org.crocusgrade.peer.proto.ResourcesMessage;

/** Converts between messages on customers' caps and their values. */
final class CapMessages {
    private CapMessages() {}

    static CapGrantMessage message(ServiceId pool, CapGrant grant) {
        CapGrantMessage.Builder message =
                CapGrantMessage.newBuilder()
                        .setService(pool.value())
                        .setToken(grant.token())
                        .setSequence(grant.sequence())
                        .setOwnerToken(grant.ownerToken());
        grant.limits()
                .forEach(
                        (customer, limit) -> {
                            CustomerGrantMessage.Builder entry =
                                    CustomerGrantMessage.newBuilder().setCustomer(customer.value());
                            limit.ifPresent(l -> entry.setAmount(message(l)));
                            message.addGrants(entry);
                        });
        return message.build();
    }

    static CapGrant grant(CapGrantMessage message) {
        Map<CustomerId, Optional<Resources>> limits = new HashMap<>();
        for (CustomerGrantMessage entry : message.getGrantsList()) {
            limits.put(
                    new CustomerId(entry.getCustomer()),
                    entry.hasAmount()
                            ? Optional.of(resources(entry.getAmount()))
                            : Optional.empty());
        }
        return new CapGrant(
                message.getToken(), message.getSequence(), message.getOwnerToken(), limits);
    }

    static CustomerUsageMessage message(CustomerId customer, CapUsage usage) {
        return CustomerUsageMessage.newBuilder()
                .setCustomer(customer.value())
                .setRunning(message(usage.running()))
                .setWanted(message(usage.wanted()))
                .setGranted(message(usage.granted()))
                .build();
    }

    /**
     * Returns what a status says about customers with a cap; empty if it says nothing about them,
     * which does not mean that they use nothing.
     */
    static Optional<CapReport> report(PoolStatusMessage status) {
        if (status.getCapToken() == 0 && status.getCustomersCount() == 0) {
            return Optional.empty();
        }
        Map<CustomerId, CapUsage> usage = new HashMap<>();
        for (CustomerUsageMessage entry : status.getCustomersList()) {
            usage.put(
                    new CustomerId(entry.getCustomer()),
                    new CapUsage(
                            resources(entry.getRunning()),
                            resources(entry.getWanted()),
                            resources(entry.getGranted())));
        }
        return Optional.of(
                new CapReport(
                        new ServiceId(status.getService()),
                        status.getToken(),
                        status.getSequence(),
                        status.getCapToken(),
                        status.getCapSequence(),
                        status.getSettled(),
                        usage));
    }

    private static ResourcesMessage message(Resources resources) {
        return ResourcesMessage.newBuilder()
                .setMilliCores(resources.milliCores())
                .setMemoryMb(resources.memoryMb())
                .setAccelerators(resources.accelerators())
                .build();
    }

    private static Resources resources(ResourcesMessage message) {
        return new Resources(
                message.getMilliCores(), message.getMemoryMb(), message.getAccelerators());
    }
}
