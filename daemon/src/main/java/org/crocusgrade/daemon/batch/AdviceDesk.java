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
 * Brings questions to the advice service. It answers the questions of one daemon one after the
 * other, so they are spread over all daemons, each with few open ones.
 */
final class AdviceDesk {
    /** Questions of this daemon that another may have open at the service: one waits meanwhile. */
    private static final int OPEN_PER_DAEMON = 2;

    /** How long another daemon has for an answer; the service's own time-out is shorter. */
    private static final Duration PEER_TIMEOUT = Duration.ofMillis(5500);

    private final Runtime runtime;
    private final DaemonId self;
    private final PeerCalls peers;
    private final Map<DaemonId, Integer> open = new HashMap<>();
    private final Set<DaemonId> daemons = new TreeSet<>();

    AdviceDesk(Runtime runtime, DaemonId self, PeerCalls peers) {
        this.runtime = runtime;
        this.self = self;
        this.peers = peers;
        daemons.add(self);
    }

    /** Sets the daemons that run. */
    void setDaemons(Set<DaemonId> running) {
        daemons.clear();
        daemons.addAll(running);
        daemons.add(self);
    }

    /** Returns how many questions may be sent now. */
    int capacity() {
        return daemons.stream().mapToInt(this::left).sum();
    }

    /** Asks; the answer comes exactly once, empty if there is none. */
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
            answer(question.stepId(), question.workerIds(), done);
        } else {
            peers.askAdvice(by, question.stepId(), question.workerIds(), PEER_TIMEOUT, done);
        }
    }

    /** Asks the service itself, for this daemon or another. */
    void answer(StepId step, List<WorkerId> workers, Consumer<Optional<Advice>> answer) {
        runtime.advice()
                .ask(step, workers)
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
            if (left(daemon) > left(best)) {
                best = daemon;
            }
        }
        return best;
    }

    private int left(DaemonId daemon) {
        return Math.max(0, OPEN_PER_DAEMON - open.getOrDefault(daemon, 0));
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
