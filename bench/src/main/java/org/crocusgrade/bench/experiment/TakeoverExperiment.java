package org.crocusgrade.bench.experiment;

import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.crocusgrade.bench.process.DaemonProcess;
import org.crocusgrade.bench.process.ProcessException;
import org.crocusgrade.bench.process.ProcessFleet;
import org.crocusgrade.bench.trial.Deployment;
import org.crocusgrade.bench.trial.FleetHistory;
import org.crocusgrade.core.fleet.RackCodec;
import org.crocusgrade.core.fleet.RackRecord;
import org.crocusgrade.core.member.MemberRecord;
import org.crocusgrade.core.misc.RecordException;
import org.crocusgrade.standin.platform.Change;

/**
 * Measures how long racks lack an owner after their daemon was killed, by the number of daemons.
 * The daemon that owns the most racks is killed. The baseline is the time until its lease expires,
 * which is when a rule based on the lease alone would take the racks over.
 */
final class TakeoverExperiment implements Experiment {
    private static final List<Integer> SIZES = List.of(2, 3, 5, 8);
    private static final Duration SETTLE_TIME = Duration.ofSeconds(5);

    @Override
    public String name() {
        return "take-over";
    }

    @Override
    public String summary() {
        return "time until a killed daemon's racks are taken over; baseline: expiry of its lease";
    }

    @Override
    public ExperimentTable run(long seed, Consumer<String> progress) throws ExperimentException {
        ExperimentTable table =
                new ExperimentTable(
                        name(),
                        List.of(
                                "daemons",
                                "racks taken over",
                                "first taken s",
                                "last taken s",
                                "lease lapsed s"));
        for (int size : SIZES) {
            progress.accept(size + " daemons");
            table.add(measure(size, seed));
        }
        return table;
    }

    private List<Double> measure(int size, long seed) throws ExperimentException {
        try (ProcessFleet fleet =
                new ProcessFleet(
                        Deployment.LAINEFLUX.region(), Deployment.LAINEFLUX.fleet(), seed)) {
            fleet.publish(PoolFiles.of(5, 35));
            fleet.startDaemons(size);
            fleet.pause(SETTLE_TIME);
            DaemonProcess killed =
                    fleet.daemons().stream()
                            .max(Comparator.comparingInt(d -> ownedRacks(fleet, d.id())))
                            .orElseThrow();
            int ownedRacks = ownedRacks(fleet, killed.id());
            Instant killedAt = fleet.clock().now();
            killed.kill();
            fleet.await("take-over", () -> ownedRacks(fleet, killed.id()) == 0);
            List<Instant> takeOverTimes = takeOverTimes(fleet, killed.id(), killedAt);
            Instant leaseExpiry =
                    fleet.platform().service().history(MemberRecord.PREFIX + killed.id()).stream()
                            .filter(c -> c.value().isEmpty() && c.at().isAfter(killedAt))
                            .map(Change::at)
                            .findFirst()
                            .orElse(killedAt);
            return List.of(
                    (double) size,
                    (double) ownedRacks,
                    takeOverTimes.isEmpty() ? 0 : seconds(killedAt, takeOverTimes.get(0)),
                    takeOverTimes.isEmpty()
                            ? 0
                            : seconds(killedAt, takeOverTimes.get(takeOverTimes.size() - 1)),
                    seconds(killedAt, leaseExpiry));
        } catch (ProcessException e) {
            throw new ExperimentException(name() + " failed at " + size + " daemons", e);
        }
    }

    private static double seconds(Instant from, Instant to) {
        return Duration.between(from, to).toMillis() / 1000.0;
    }

    private static int ownedRacks(ProcessFleet fleet, String daemon) {
        Map<String, String> owners = new HashMap<>();
        for (Change change : fleet.platform().service().history(FleetHistory.PREFIX)) {
            owner(change).ifPresent(owner -> owners.put(change.key(), owner));
        }
        return (int) owners.values().stream().filter(daemon::equals).count();
    }

    private static List<Instant> takeOverTimes(ProcessFleet fleet, String daemon, Instant since) {
        return fleet.platform().service().history(FleetHistory.PREFIX).stream()
                .filter(c -> c.at().isAfter(since))
                .filter(c -> owner(c).filter(o -> !o.isEmpty() && !o.equals(daemon)).isPresent())
                .map(Change::at)
                .toList();
    }

    private static Optional<String> owner(Change change) {
        if (change.value().isEmpty()) {
            return Optional.empty();
        }
        try {
            RackRecord rack = RackCodec.decode(change.value().get());
            return Optional.of(rack.owner().map(id -> id.value()).orElse(""));
        } catch (RecordException e) {
            return Optional.empty();
        }
    }
}
