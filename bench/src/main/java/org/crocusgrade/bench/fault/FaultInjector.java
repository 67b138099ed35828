package org.crocusgrade.bench.fault;

import java.time.Duration;
import org.crocusgrade.bench.process.DaemonProcess;
import org.crocusgrade.bench.process.ProcessException;
import org.crocusgrade.bench.process.ProcessFleet;
import org.crocusgrade.bench.trial.EmbeddedPlatform;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.HostEntry;
import org.crocusgrade.standin.StandinFleet;
import org.crocusgrade.standin.hosts.HostFaults;
import org.crocusgrade.standin.platform.PlatformFaults;
import org.crocusgrade.standin.worker.WorkerFaults;

/** Begins and ends faults in the daemons, workers and platform of a fleet. */
final class FaultInjector {
    private static final Duration SERVICE_DELAY = Duration.ofMillis(700);
    private static final int LOST_ANSWERS_PERCENT = 50;

    private final ProcessFleet fleet;

    FaultInjector(ProcessFleet fleet) {
        this.fleet = fleet;
    }

    void begin(Fault fault) throws ProcessException {
        switch (fault.kind()) {
            case DAEMON_KILLED -> daemon(fault).kill();
            case DAEMON_PAUSED -> daemon(fault).pause();
            case SERVICE_DOWN ->
                    setServiceFaults(new PlatformFaults(true, false, Duration.ZERO, 0));
            case SERVICE_SLOW ->
                    setServiceFaults(new PlatformFaults(false, false, SERVICE_DELAY, 0));
            case SERVICE_LOSES_ANSWERS ->
                    setServiceFaults(
                            new PlatformFaults(false, false, Duration.ZERO, LOST_ANSWERS_PERCENT));
            case HOSTS_DOWN -> setHostListFaults(new HostFaults(true, EmbeddedPlatform.LAG, false));
            case WORKER_FAILS ->
                    setWorkerFaults(fault, new WorkerFaults(true, false, false, false, 1));
            case WORKER_ANSWERS_OTHER ->
                    setWorkerFaults(fault, new WorkerFaults(false, true, false, false, 1));
            case WORKER_CUTS_ANSWERS ->
                    setWorkerFaults(fault, new WorkerFaults(false, false, true, false, 1));
            case WORKER_STALLS ->
                    setWorkerFaults(fault, new WorkerFaults(false, false, false, true, 1));
            case WORKER_DOWN -> setHostState(fault, HostEntry.State.DOWN);
            default -> throw new IllegalStateException("unknown fault: " + fault.kind());
        }
    }

    void end(Fault fault) throws ProcessException {
        switch (fault.kind()) {
            case DAEMON_KILLED -> daemon(fault).start();
            case DAEMON_PAUSED -> daemon(fault).resume();
            case SERVICE_DOWN, SERVICE_SLOW, SERVICE_LOSES_ANSWERS ->
                    setServiceFaults(PlatformFaults.NONE);
            case HOSTS_DOWN -> setHostListFaults(HostFaults.lagging(EmbeddedPlatform.LAG));
            case WORKER_FAILS, WORKER_ANSWERS_OTHER, WORKER_CUTS_ANSWERS, WORKER_STALLS ->
                    setWorkerFaults(fault, WorkerFaults.NONE);
            case WORKER_DOWN -> setHostState(fault, HostEntry.State.LIVE);
            default -> throw new IllegalStateException("unknown fault: " + fault.kind());
        }
    }

    private DaemonProcess daemon(Fault fault) {
        return fleet.daemons().get(fault.target());
    }

    private void setServiceFaults(PlatformFaults faults) {
        fleet.platform().service().setFaults(faults);
    }

    private void setHostListFaults(HostFaults faults) {
        fleet.platform().hosts().setFaults(faults);
    }

    private void setWorkerFaults(Fault fault, WorkerFaults faults) {
        WorkerId worker = StandinFleet.Spec.worker(fault.target());
        fleet.platform().fleet().worker(worker).setFaults(faults);
    }

    private void setHostState(Fault fault, HostEntry.State state) {
        fleet.platform().hosts().setHostState(StandinFleet.Spec.worker(fault.target()), state);
    }
}
