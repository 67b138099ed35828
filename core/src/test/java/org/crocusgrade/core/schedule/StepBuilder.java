package org.crocusgrade.core.schedule;

import java.time.Duration;
import java.util.List;
import java.util.Optional;
import org.crocusgrade.core.submission.Resources;
import org.crocusgrade.core.submission.StepSpec;

final class StepBuilder {
    private final int tasks;
    private final int milliCores;
    private List<Integer> after = List.of();
    private boolean gang;
    private Optional<String> label = Optional.empty();
    private int maxPerWorker;
    private int memoryMb = 1024;
    private int accelerators;
    private boolean longRunning;
    private boolean opportunistic;
    private int maxUnavailable;
    private boolean rackLocal;
    private Optional<String> dataRack = Optional.empty();
    private boolean speculative;
    private boolean checkpointing;
    private Optional<Duration> latencyTarget = Optional.empty();
    private Duration estimate = Duration.ofSeconds(1);

    StepBuilder(int tasks, int milliCores) {
        this.tasks = tasks;
        this.milliCores = milliCores;
    }

    StepBuilder after(Integer... steps) {
        after = List.of(steps);
        return this;
    }

    StepBuilder gang() {
        gang = true;
        return this;
    }

    StepBuilder label(String wanted) {
        label = Optional.of(wanted);
        return this;
    }

    StepBuilder maxPerWorker(int limit) {
        maxPerWorker = limit;
        return this;
    }

    StepBuilder memoryMb(int amount) {
        memoryMb = amount;
        return this;
    }

    StepBuilder accelerators(int number) {
        accelerators = number;
        return this;
    }

    StepBuilder longRunning(int mayBeUnavailable) {
        longRunning = true;
        maxUnavailable = mayBeUnavailable;
        return this;
    }

    StepBuilder opportunistic() {
        opportunistic = true;
        return this;
    }

    StepBuilder rackLocal() {
        rackLocal = true;
        return this;
    }

    StepBuilder dataRack(String rack) {
        dataRack = Optional.of(rack);
        return this;
    }

    StepBuilder speculative() {
        speculative = true;
        return this;
    }

    StepBuilder checkpointing() {
        checkpointing = true;
        return this;
    }

    StepBuilder latencyTarget(Duration target) {
        latencyTarget = Optional.of(target);
        return this;
    }

    StepBuilder estimate(Duration time) {
        estimate = time;
        return this;
    }

    StepSpec build() {
        return new StepSpec(
                tasks,
                new Resources(milliCores, memoryMb, accelerators),
                estimate,
                after,
                gang,
                rackLocal,
                label,
                dataRack,
                maxPerWorker,
                speculative,
                checkpointing,
                longRunning,
                Optional.empty(),
                latencyTarget,
                opportunistic,
                maxUnavailable);
    }
}
