package org.crocusgrade.bench.guarantee;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * An accepted configuration takes effect at every daemon within seconds and does not revert. One
 * case for each daemon, which must apply the configuration within the bound, and one for each probe
 * that is sent to a daemon after it was first seen to apply it.
 */
final class ConfigGuarantee implements Guarantee {
    @Override
    public String name() {
        return "configuration-in-force";
    }

    @Override
    public CheckResult check(Observations observations) {
        CaseCounter cases = new CaseCounter(name());
        for (Observations.Rollout rollout : observations.rollouts()) {
            for (InetSocketAddress daemon : rollout.daemons()) {
                checkDaemon(rollout, daemon, observations.rolloutBound(), cases);
            }
        }
        return cases.result();
    }

    private static void checkDaemon(
            Observations.Rollout rollout,
            InetSocketAddress daemon,
            Duration bound,
            CaseCounter cases) {
        Optional<Instant> first = rollout.firstAt(daemon);
        Instant latest = rollout.published().plus(bound);
        cases.check(
                first.isPresent() && !first.get().isAfter(latest),
                () ->
                        daemon
                                + " did not apply the configuration within "
                                + bound.toSeconds()
                                + " s");
        if (first.isEmpty()) {
            return;
        }
        for (Observations.Probe probe : rollout.probes()) {
            if (probe.daemon().equals(daemon) && probe.sent().isAfter(first.get())) {
                cases.check(
                        probe.followed(),
                        () -> daemon + " reverted the configuration by " + probe.ended());
            }
        }
    }
}
