package org.crocusgrade.daemon.batch;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.Consumer;
import org.crocusgrade.core.id.DaemonId;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.AdviceService.Advice;
import org.crocusgrade.core.schedule.AdviceRequest;
import org.crocusgrade.core.submission.StepId;
import org.crocusgrade.daemon.log.Event;

/**
 * Sends requests to the advice service. The service handles the requests of one daemon one after
 * the other, so requests are distributed over all daemons, each with only a few open.
 */
final class AdviceDispatcher {
    /**
     * Maximum number of requests of this daemon that are open through one daemon: the service
     * handles one while the other is queued.
     */
    private static final int MAX_OPEN_PER_DAEMON = 2;

    /**
     * Timeout for an answer through another daemon, longer than the timeout of the service call
     * itself.
     */
    private static final Duration PEER_TIMEOUT = Duration.ofMillis(5500);

    private final BatchRuntime runtime;
    private final DaemonId self;
    private final PeerRpc peers;
    private final Map<DaemonId, Integer> open = new HashMap<>();
    private final Set<DaemonId> daemons = new TreeSet<>();

    AdviceDispatcher(BatchRuntime runtime, DaemonId self, PeerRpc peers) {
        this.runtime = runtime;
        this.self = self;
        this.peers = peers;
        daemons.add(self);
    }

    /** Sets the running daemons, to which this one always belongs. */
    void setDaemons(Set<DaemonId> running) {
        daemons.clear();
        daemons.addAll(running);
        daemons.add(self);
    }

    /** Returns how many requests may be sent now. */
    int capacity() {
        return daemons.stream().mapToInt(this::freeSlots).sum();
    }

    /**
     * Sends a request through the daemon with the fewest open requests. The callback runs exactly
     * once, with an empty value if there is no answer.
     */
    void send(AdviceRequest request, Consumer<Optional<Advice>> answer) {
        DaemonId by = leastBusy();
        open.merge(by, 1, Integer::sum);
        long requestedNanos = runtime.clock().nanoTime();
        Consumer<Optional<Advice>> done =
                a -> {
                    open.computeIfPresent(by, (d, n) -> n > 1 ? n - 1 : null);
                    log(request, by, a, requestedNanos);
                    answer.accept(a);
                };
        if (by.equals(self)) {
            requestFromService(request.stepId(), request.workerIds(), done);
        } else {
            peers.requestAdvice(by, request.stepId(), request.workerIds(), PEER_TIMEOUT, done);
        }
    }

    /** Calls the advice service directly, for this daemon or on behalf of another. */
    void requestFromService(
            StepId step, List<WorkerId> workers, Consumer<Optional<Advice>> answer) {
        runtime.advice()
                .requestTickets(step, workers)
                .emitOn(runtime.loop())
                .subscribe()
                .with(
                        a -> runtime.guard(() -> answer.accept(Optional.of(a))),
                        f -> {
                            runtime.log().log(
                                    Event.ADVICE_FAILED, "step", step, "cause", f.getMessage());
                            runtime.guard(() -> answer.accept(Optional.empty()));
                        });
    }

    private DaemonId leastBusy() {
        DaemonId best = self;
        for (DaemonId daemon : daemons) {
            if (freeSlots(daemon) > freeSlots(best)) {
                best = daemon;
            }
        }
        return best;
    }

    private int freeSlots(DaemonId daemon) {
        return Math.max(0, MAX_OPEN_PER_DAEMON - open.getOrDefault(daemon, 0));
    }

    private void log(
            AdviceRequest request, DaemonId by, Optional<Advice> advice, long requestedNanos) {
        Duration took = Duration.ofNanos(runtime.clock().nanoTime() - requestedNanos);
        runtime.log().log(
                Event.ADVICE_TAKEN,
                "step",
                request.stepId(),
                "by",
                by,
                "asked",
                request.workers().size(),
                "allowed",
                advice.map(a -> String.valueOf(a.tickets().size())).orElse("no answer"),
                "took-ms",
                took.toMillis());
    }
}
