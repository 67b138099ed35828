package org.crocusgrade.bench.promise;

import java.net.InetSocketAddress;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;

/**
 * An accepted configuration is in force everywhere within seconds and never reverts. Cases are the
 * daemons, each of which must follow in time, and every look at one that has followed.
 */
final class ConfigPromise implements Promise {
    @Override
    public String name() {
        return "configuration-in-force";
    }

    @Override
    public Verdict check(Evidence evidence) {
        Tally tally = new Tally(name());
        for (Evidence.Rollout rollout : evidence.rollouts()) {
            for (InetSocketAddress daemon : rollout.daemons()) {
                checkDaemon(rollout, daemon, evidence.rolloutBound(), tally);
            }
        }
        return tally.verdict();
    }

    private static void checkDaemon(
            Evidence.Rollout rollout, InetSocketAddress daemon, Duration bound, Tally tally) {
        Optional<Instant> first = rollout.firstAt(daemon);
        Instant latest = rollout.published().plus(bound);
        tally.check(
                first.isPresent() && !first.get().isAfter(latest),
                () -> daemon + " did not follow within " + bound.toSeconds() + " s");
        if (first.isEmpty()) {
            return;
        }
        for (Evidence.Probe probe : rollout.probes()) {
            if (probe.daemon().equals(daemon) && probe.sent().isAfter(first.get())) {
                tally.check(probe.followed(), () -> daemon + " went back by " + probe.ended());
            }
        }
    }
}
