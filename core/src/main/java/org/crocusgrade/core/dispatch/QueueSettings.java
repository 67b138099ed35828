package org.crocusgrade.core.dispatch;

import java.time.Duration;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.crocusgrade.core.config.ServiceClass;
import org.crocusgrade.core.config.ServiceConfig;
import org.crocusgrade.core.config.ServiceConfig.Quota;
import org.crocusgrade.core.id.AvailabilityZone;
import org.crocusgrade.core.id.CustomerId;

/**
 * The settings of a {@link ServiceQueue} that depend on its service and its daemon.
 *
 * @param serviceClass prompt or must finish
 * @param queueBound the most requests that may wait, at least 1
 * @param declaredRunTime the configured run time, used until enough runs were measured
 * @param cancelRunning whether a running request is cancelled at its worker when its caller
 *     disconnects or its deadline passes
 * @param quotas the most slots that each customer may hold over all daemons
 * @param zone the daemon's own availability zone, if known
 * @param daemons the daemons that share the quotas, at least 1
 */
public record QueueSettings(
        ServiceClass serviceClass,
        int queueBound,
        Duration declaredRunTime,
        boolean cancelRunning,
        Map<CustomerId, Quota> quotas,
        Optional<AvailabilityZone> zone,
        int daemons) {
    /** Checks the fields and copies the map. */
    public QueueSettings {
        Objects.requireNonNull(serviceClass);
        Objects.requireNonNull(declaredRunTime);
        Objects.requireNonNull(zone);
        quotas = Map.copyOf(quotas);
        if (queueBound < 1 || daemons < 1) {
            throw new IllegalArgumentException(
                    "queue bound and number of daemons must be at least 1");
        }
    }

    /** Returns the settings of a service on a daemon. */
    public static QueueSettings of(
            ServiceConfig config, Optional<AvailabilityZone> zone, int daemons) {
        return new QueueSettings(
                config.serviceClass(),
                Math.max(1, config.queueBound()),
                config.runTime(),
                config.cancelRunning(),
                config.quotas(),
                zone,
                Math.max(1, daemons));
    }

    /**
     * Returns the most slots that a customer may hold through this daemon: an equal part of the
     * quota, rounded up so that every customer gets at least one slot at each daemon.
     */
    int slotLimit(CustomerId customer) {
        Quota quota = quotas.get(customer);
        if (quota == null) {
            return Integer.MAX_VALUE;
        }
        return Math.max(1, (quota.slots() + daemons - 1) / daemons);
    }
}
