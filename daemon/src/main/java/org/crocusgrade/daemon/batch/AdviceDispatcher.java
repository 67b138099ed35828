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
 * Sends questions to the advice service. The service answers the questions of one daemon one after
 * the other, so questions are distributed over all daemons, each with only a few open.
 */
final class AdviceDispatcher {
    /**
     * Questions that this daemon may have open through one daemon: one is answered, the other waits
     * in line.
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

    /** Returns how many questions may be sent now. */
    int capacity() {
        return daemons.stream().mapToInt(this::freeSlots).sum();
    }

    /**
     * Sends a question through the daemon with the fewest open questions. The callback runs exactly
     * once, with an empty value if there is no answer.
     */
    void ask(AdviceRequest question, Consumer<Optional<Advice>> answer) {
        DaemonId by = leastBusy();
        open.merge(by, 1, Integer::sum);
        long asked = runtime.clock().nanoTime();
        Consumer<Optional<Advice>> done =
                a -> {
                    open.computeIfPresent(by, (d, n) -> n > 1 ? n - 1 : null);
                    log(question, by, a, asked);
                    answer.accept(a);
                };
        if (by.equals(self)) {
            askService(question.stepId(), question.workerIds(), done);
        } else {
            peers.askAdvice(by, question.stepId(), question.workerIds(), PEER_TIMEOUT, done);
        }
    }

    /** Calls the advice service directly, for this daemon or on behalf of another. */
    void askService(StepId step, List<WorkerId> workers, Consumer<Optional<Advice>> answer) {
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

    private void log(AdviceRequest question, DaemonId by, Optional<Advice> advice, long asked) {
        Duration took = Duration.ofNanos(runtime.clock().nanoTime() - asked);
        runtime.log().log(
                Event.ADVICE_TAKEN,
                "step",
                question.stepId(),
                "by",
                by,
                "asked",
                question.workers().size(),
                "allowed",
                advice.map(a -> String.valueOf(a.tickets().size())).orElse("no answer"),
                "took-ms",
                took.toMillis());
    }
}
