package org.crocusgrade.core.maintenance;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.TreeMap;
import org.crocusgrade.core.fleet.WorkerState;
import org.crocusgrade.core.id.Epoch;
import org.crocusgrade.core.id.PoolId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.maintenance.HostProgress.Phase;
import org.crocusgrade.core.maintenance.MaintenanceView.Host;
import org.crocusgrade.core.maintenance.MaintenanceView.Pool;
import org.crocusgrade.core.port.HostEntry;

/** Computes one planning step, as described at {@link DefaultMaintenancePlanner}. Used once. */
final class WaveStepBuilder {
    /** Fraction of the maintenance interval after which a host is due. */
    private static final double DUE_FRACTION = 2.0 / 3;

    /** Time after which a host that was put back is started again. */
    private static final Duration RETRY_DELAY = Duration.ofMinutes(10);

    /** Weight of a new measurement in the moving average of the time per host. */
    private static final double HOST_TIME_WEIGHT = 0.2;

    private final MaintenanceView view;
    private final WaveRecord previous;
    private final Epoch epoch;
    private final Instant now;
    private final Map<PoolId, Pool> pools = new HashMap<>();
    private final Map<WorkerId, HostProgress> hosts = new TreeMap<>();
    private final Map<WorkerId, Instant> maintained = new TreeMap<>();
    private final List<MaintenanceDecision> decisions = new ArrayList<>();
    private Optional<MaintenanceReason> stopped;
    private WaveRecord.Status status;
    private long wave;
    private Instant started;
    private Duration meanHostTime;

    WaveStepBuilder(MaintenanceView view, WaveRecord record, Epoch epoch) {
        this.view = view;
        this.previous = record;
        this.epoch = epoch;
        this.now = view.now();
        view.pools().forEach(p -> pools.put(p.pool(), p));
        hosts.putAll(record.hosts());
        maintained.putAll(record.maintained());
        stopped = record.stopped();
        status = record.status();
        wave = record.wave();
        started = record.started();
        meanHostTime = record.meanHostTime();
    }

    MaintenanceStep step() {
        updateMaintained();
        startWaveIfDue();
        for (Host host : view.hosts()) {
            HostProgress progress = hosts.get(host.worker());
            if (progress != null) {
                advance(host, progress);
            }
        }
        stopOnFailures();
        if (status == WaveRecord.Status.RUNNING) {
            startDueHosts();
        }
        WaveRecord next =
                new WaveRecord(
                        epoch,
                        wave,
                        status,
                        stopped,
                        view.policy().image(),
                        view.policy().attempt(),
                        started,
                        hosts,
                        maintained,
                        meanHostTime);
        return new MaintenanceStep(next, decisions, progress());
    }

    /**
     * Adds new hosts, as if maintained now, and drops entries older than twice the longest
     * maintenance interval of any pool.
     */
    private void updateMaintained() {
        Duration longest = Duration.ZERO;
        for (Pool p : view.pools()) {
            Duration every = p.maintenance().every();
            longest = every.compareTo(longest) > 0 ? every : longest;
        }
        Instant oldest = now.minus(longest.multipliedBy(2));
        maintained.values().removeIf(at -> at.isBefore(oldest));
        for (Host h : view.hosts()) {
            if (maintained.size() < WaveRecord.MAX_HOSTS) {
                maintained.putIfAbsent(h.worker(), now);
            }
        }
    }

    /**
     * Starts a wave if the policy's image or attempt changed, or if no wave is in progress and a
     * host is due. Hosts whose maintenance is in progress become part of the new wave.
     */
    private void startWaveIfDue() {
        boolean changed =
                !Objects.equals(previous.image(), view.policy().image())
                        || previous.attempt() != view.policy().attempt();
        boolean active = hosts.values().stream().anyMatch(p -> p.phase().active);
        boolean startNeeded =
                changed
                        || (status == WaveRecord.Status.IDLE
                                && view.hosts().stream().anyMatch(this::isDue));
        if (!startNeeded) {
            return;
        }
        if (changed && !active && view.hosts().stream().noneMatch(this::isDue)) {
            status = WaveRecord.Status.IDLE;
            stopped = Optional.empty();
            hosts.clear();
            return;
        }
        status = WaveRecord.Status.RUNNING;
        stopped = Optional.empty();
        wave++;
        started = now;
        hosts.values().removeIf(p -> !p.phase().active);
    }

    private void advance(Host host, HostProgress progress) {
        switch (progress.phase()) {
            case DRAINING -> drain(host, progress);
            case REBOOTING, DOWN -> advanceReboot(host, progress);
            case WATCHED -> watch(host, progress);
            case DONE -> checkDone(host, progress);
            default -> {}
        }
    }

    private void drain(Host host, HostProgress progress) {
        if (host.state() == WorkerState.MAINTENANCE) {
            hosts.put(host.worker(), progress.to(Phase.REBOOTING, now));
            reboot(host, progress);
            return;
        }
        Pool pool = pools.get(host.pool());
        boolean late =
                pool != null && progress.since().plus(pool.maintenance().maxDrain()).isBefore(now);
        if (late && host.host() == HostEntry.State.LIVE) {
            hosts.put(host.worker(), progress.to(Phase.PUT_BACK, now));
            decisions.add(
                    new MaintenanceDecision.GiveBack(
                            host.worker(), MaintenanceReason.DRAIN_TOO_LONG));
            return;
        }
        decisions.add(new MaintenanceDecision.Drain(host.worker(), reason(host)));
    }

    private void reboot(Host host, HostProgress progress) {
        decisions.add(
                new MaintenanceDecision.Reboot(
                        host.worker(),
                        view.policy().image().orElse(host.image()),
                        progress.operation(),
                        MaintenanceReason.DRAINED));
    }

    /**
     * Advances a host whose reboot was requested. The request is repeated until the host has been
     * observed down, in case an earlier request was lost.
     */
    private void advanceReboot(Host host, HostProgress progress) {
        Optional<String> image = view.policy().image();
        boolean live = host.host() == HostEntry.State.LIVE;
        boolean imageMatches = image.isEmpty() || image.get().equals(host.image());
        boolean late = progress.since().plus(view.policy().rebootTimeout()).isBefore(now);
        boolean wasDown =
                host.host() == HostEntry.State.DOWN || host.lastDown().isAfter(progress.since());
        if (progress.phase() == Phase.REBOOTING && wasDown) {
            hosts.put(host.worker(), progress.to(Phase.DOWN, now));
        } else if (progress.phase() == Phase.DOWN && live && !imageMatches) {
            fail(host, progress, MaintenanceReason.WRONG_IMAGE);
        } else if (progress.phase() == Phase.DOWN && live && host.answers()) {
            hosts.put(host.worker(), progress.to(Phase.WATCHED, now));
            giveBack(host);
        } else if (late) {
            fail(host, progress, MaintenanceReason.REBOOT_TIMEOUT);
        } else if (progress.phase() == Phase.REBOOTING) {
            reboot(host, progress);
        }
    }

    private void giveBack(Host host) {
        decisions.add(new MaintenanceDecision.GiveBack(host.worker(), MaintenanceReason.CHECKED));
    }

    private void watch(Host host, HostProgress progress) {
        if (host.state() == WorkerState.MAINTENANCE && host.host() == HostEntry.State.LIVE) {
            giveBack(host);
            return;
        }
        if (host.state() == WorkerState.QUARANTINED || host.host() == HostEntry.State.DOWN) {
            fail(host, progress, MaintenanceReason.FAILED_AFTER);
            return;
        }
        if (!progress.since().plus(view.policy().watch()).isAfter(now)) {
            hosts.put(host.worker(), progress.to(Phase.DONE, now));
            maintained.put(host.worker(), now);
            Duration elapsed = Duration.between(progress.started(), progress.since());
            meanHostTime = meanHostTime.isZero() ? elapsed : updatedMean(elapsed);
        }
    }

    private Duration updatedMean(Duration elapsed) {
        double nanos =
                meanHostTime.toNanos() * (1 - HOST_TIME_WEIGHT)
                        + elapsed.toNanos() * HOST_TIME_WEIGHT;
        return Duration.ofNanos((long) nanos);
    }

    /**
     * Counts a host that fails after it was done as a failure of the wave while the wave is
     * running.
     */
    private void checkDone(Host host, HostProgress progress) {
        boolean failed =
                host.state() == WorkerState.QUARANTINED || host.host() == HostEntry.State.DOWN;
        if (failed && status == WaveRecord.Status.RUNNING) {
            fail(host, progress, MaintenanceReason.FAILED_AFTER);
        }
    }

    private void fail(Host host, HostProgress progress, MaintenanceReason reason) {
        hosts.put(host.worker(), progress.failed(reason, now));
    }

    private void stopOnFailures() {
        if (status != WaveRecord.Status.RUNNING) {
            return;
        }
        int failed = count(Phase.FAILED);
        boolean beforeCanariesDone = rollsOutImage() && count(Phase.DONE) < canaryCount();
        if (failed >= view.policy().maxFailures()) {
            stop(MaintenanceReason.CORRELATED_FAILURES);
        } else if (failed > 0 && beforeCanariesDone) {
            stop(MaintenanceReason.CANARY_FAILED);
        }
    }

    private void stop(MaintenanceReason reason) {
        status = WaveRecord.Status.STOPPED;
        stopped = Optional.of(reason);
    }

    private void startDueHosts() {
        PoolBudgets budgets = new PoolBudgets(view, hosts);
        Optional<MaintenanceReason> globalHold = globalHold();
        int startedCount = hosts.size() - count(Phase.PUT_BACK);
        boolean anyDue = false;
        for (Host host : view.hosts()) {
            Pool pool = pools.get(host.pool());
            if (pool == null || !isDue(host)) {
                continue;
            }
            anyDue = true;
            Optional<MaintenanceReason> hold = globalHold;
            if (hold.isEmpty()
                    && rollsOutImage()
                    && !canariesDone()
                    && startedCount >= canaryCount()) {
                hold = Optional.of(MaintenanceReason.CANARY);
            }
            if (hold.isEmpty()) {
                hold = budgets.holdReason(host, pool);
            }
            if (hold.isPresent()) {
                budgets.recordHold(pool.pool(), hold.get());
                continue;
            }
            startedCount++;
            budgets.recordStart(host);
            startDraining(host);
        }
        budgets.holds()
                .forEach((pool, why) -> decisions.add(new MaintenanceDecision.Hold(pool, why)));
        if (!anyDue && hosts.values().stream().noneMatch(WaveStepBuilder::isUnfinished)) {
            status = WaveRecord.Status.IDLE;
        }
    }

    private static boolean isUnfinished(HostProgress progress) {
        return progress.phase().active || progress.phase() == Phase.PUT_BACK;
    }

    private void startDraining(Host host) {
        String operation = "wave-" + wave + "-" + host.worker().value();
        hosts.put(
                host.worker(),
                new HostProgress(Phase.DRAINING, now, now, operation, Optional.empty()));
        decisions.add(new MaintenanceDecision.Drain(host.worker(), reason(host)));
    }

    private Optional<MaintenanceReason> globalHold() {
        if (view.policy().paused()) {
            return Optional.of(MaintenanceReason.PAUSED);
        }
        Map<String, int[]> zones = new TreeMap<>();
        for (Host h : view.hosts()) {
            int[] count = zones.computeIfAbsent(h.zone().value(), z -> new int[2]);
            HostProgress progress = hosts.get(h.worker());
            boolean inProgress = progress != null && progress.phase().active;
            count[0]++;
            count[1] += h.host() == HostEntry.State.DOWN && !inProgress ? 1 : 0;
        }
        boolean zoneDown = zones.values().stream().anyMatch(c -> c[1] * 2 > c[0]);
        return zoneDown ? Optional.of(MaintenanceReason.ZONE_DOWN) : Optional.empty();
    }

    private boolean rollsOutImage() {
        return view.policy().image().isPresent();
    }

    private int canaryCount() {
        return (int) Math.ceil(view.policy().canaryShare() * view.hosts().size());
    }

    private boolean canariesDone() {
        return count(Phase.DONE) >= canaryCount();
    }

    private int count(Phase phase) {
        return (int) hosts.values().stream().filter(p -> p.phase() == phase).count();
    }

    /**
     * Returns whether maintenance of a host is due and may be started in this wave; false for a
     * host that is down or quarantined.
     */
    private boolean isDue(Host host) {
        if (host.host() != HostEntry.State.LIVE || host.state() == WorkerState.QUARANTINED) {
            return false;
        }
        HostProgress progress = hosts.get(host.worker());
        if (progress != null && !mayStartAgain(progress)) {
            return false;
        }
        boolean inMaintenance = host.state() == WorkerState.MAINTENANCE;
        return inMaintenance || hasOtherImage(host) || isOlderThan(host, DUE_FRACTION);
    }

    private boolean mayStartAgain(HostProgress progress) {
        return switch (progress.phase()) {
            case PUT_BACK -> !progress.since().plus(RETRY_DELAY).isAfter(now);
            case DONE -> status == WaveRecord.Status.IDLE;
            default -> false;
        };
    }

    private boolean hasOtherImage(Host host) {
        Optional<String> image = view.policy().image();
        return image.isPresent() && !image.get().equals(host.image());
    }

    private boolean isOlderThan(Host host, double fraction) {
        Pool pool = pools.get(host.pool());
        Instant last = maintained.get(host.worker());
        if (pool == null || last == null) {
            return false;
        }
        double age = Duration.between(last, now).toNanos();
        return age >= pool.maintenance().every().toNanos() * fraction;
    }

    private MaintenanceReason reason(Host host) {
        return hasOtherImage(host) ? MaintenanceReason.IMAGE : MaintenanceReason.DUE;
    }

    private MaintenanceStep.Progress progress() {
        int due = (int) view.hosts().stream().filter(this::isDue).count();
        int overdue = (int) view.hosts().stream().filter(h -> isOlderThan(h, 1)).count();
        int active = (int) hosts.values().stream().filter(p -> p.phase().active).count();
        Duration perHost =
                meanHostTime.isZero() ? Duration.ZERO : meanHostTime.plus(view.policy().watch());
        Duration remaining =
                perHost.multipliedBy(PoolBudgets.minRounds(view, this::isDue, active > 0));
        return new MaintenanceStep.Progress(
                due, active, count(Phase.DONE), count(Phase.FAILED), overdue, remaining);
    }
}
