package org.crocusgrade.daemon.batch;

import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import org.crocusgrade.core.id.WorkerId;

/** Lets calls to the workers of a simulated fleet be carried out late, and cuts workers off. */
final class LateCalls {
    private LateCalls() {}

    /** Starts a fleet in which eight starts have just been sent that get no answer. */
    static SimFleet fleetWithUnansweredStarts(long lateMillis) {
        SimFleet fleet = SimFleet.withEndlessTasks(1);
        fleet.time.run(20_000);
        setLate(fleet, 1, lateMillis);
        fleet.submit(8);
        fleet.time.run(100);
        return fleet;
    }

    static List<SimWorker> workers(SimFleet fleet, int count) {
        return List.copyOf(fleet.workers.values()).subList(0, count);
    }

    /** Sets the share of calls that get no answer, and when they are carried out. */
    static void setLate(SimFleet fleet, double share, long millis) {
        for (SimFleet.Daemon daemon : fleet.daemons.values()) {
            daemon.orders.setLateInTransit();
            daemon.orders.setLateMillis(millis);
            daemon.orders.setLateShare(share);
        }
    }

    /** Plays enough tasks that late answers are told from usual ones. */
    static void warmUp(SimFleet fleet) {
        fleet.workers.values().forEach(SimWorker::setSlowRuns);
        for (int i = 0; i < 30; i++) {
            fleet.submit(1 + fleet.random.nextInt(4));
            fleet.time.run(200);
        }
    }

    /** Submits tasks of whose starts one call is carried out unanswered, and one late. */
    static void loseStartAnswers(SimFleet fleet, long lateMillis) {
        fleet.daemons.values().forEach(d -> d.orders.setLateMillis(lateMillis));
        fleet.daemons.values().forEach(d -> d.orders.setLosingStartAnswers(true));
        for (int i = 0; i < 8; i++) {
            fleet.submit(3);
            fleet.time.run(60);
        }
        fleet.daemons.values().forEach(d -> d.orders.setLosingStartAnswers(false));
    }

    static void isolate(SimFleet fleet, Collection<SimWorker> workers) {
        Set<WorkerId> cut = new HashSet<>();
        workers.forEach(w -> cut.add(w.id));
        fleet.daemons.values().forEach(d -> d.orders.setCut(cut));
    }
}
