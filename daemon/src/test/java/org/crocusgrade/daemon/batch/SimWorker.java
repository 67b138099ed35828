package org.crocusgrade.daemon.batch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.Set;
import java.util.TreeMap;
import org.crocusgrade.core.id.WorkerId;
import org.crocusgrade.core.port.WorkerOrders.StartOutcome;
import org.crocusgrade.core.port.WorkerOrders.StartRun;
import org.crocusgrade.core.port.WorkerOrders.WorkerReport;
import org.crocusgrade.core.submission.TaskEnd;
import org.crocusgrade.core.submission.TaskEnd.Result;
import org.crocusgrade.core.submission.TaskId;
import org.crocusgrade.core.submission.TaskRun;

/**
 * One simulated worker: runs tasks under a lease, rejects callers with an old token, and lists the
 * ends of runs until they are acknowledged.
 */
final class SimWorker {
    private static final long MAX_LEASE_MILLIS = 6000;
    private static final double CLOCK_RATE = 0.985;
    private static final long CRASH_MILLIS = 10;
    private static final long RESTART_MILLIS = 3400;

    final WorkerId id;
    private final SimTime time;
    private final SimChecks checks;
    private final long taskMillis;
    private final boolean needsTickets;
    private final Map<TaskId, Run> running =
            new TreeMap<>((a, b) -> a.toString().compareTo(b.toString()));
    private final List<TaskEnd> ends = new ArrayList<>();
    private final Map<TaskId, Long> refusedUpTo = new HashMap<>();
    private final Set<Runnable> waiting = new LinkedHashSet<>();
    private final List<Runnable> connections = new ArrayList<>();
    private long highestToken;
    private long startedEpochMillis;
    private long startedNanos;
    private long lastEnd;
    private long leaseUntil;
    private int incarnation;
    private boolean unresponsive;
    private boolean down;
    private boolean refuses;
    private boolean slowRuns;
    private boolean failing;
    private int maxListedEnds = Integer.MAX_VALUE;
    private long milliCores = SimFleet.CAPACITY.milliCores();

    SimWorker(String name, SimTime time, SimChecks checks, long taskMillis, boolean needsTickets) {
        this.needsTickets = needsTickets;
        id = new WorkerId(name);
        this.time = time;
        this.checks = checks;
        this.taskMillis = taskMillis;
        restart();
    }

    long startedEpochMillis() {
        return startedEpochMillis;
    }

    int incarnation() {
        return incarnation;
    }

    boolean isUnresponsive() {
        return unresponsive || down;
    }

    boolean isDown() {
        return down;
    }

    /** Sets whether the worker answers no calls; it continues its runs meanwhile. */
    void setUnresponsive(boolean now) {
        unresponsive = now;
    }

    long milliCores() {
        return milliCores;
    }

    /** Changes the processors of the worker; it continues its runs, and starts what it is told. */
    void resize(long to) {
        milliCores = to;
    }

    /** Sets how many ends the worker lists at a time. */
    void setMaxListedEnds(int number) {
        maxListedEnds = number;
    }

    /** Makes one in ten runs take seven times as long. */
    void setSlowRuns() {
        slowRuns = true;
    }

    /** Ends all runs without listing their ends, and stops the worker. */
    void crash() {
        running.forEach((task, run) -> checks.ended(id, task, run.number));
        down = true;
        incarnation++;
        running.clear();
    }

    /** Ends the process of the worker: its connections are closed, and new ones are refused. */
    void crashVisibly() {
        crash();
        refuses = true;
        List<Runnable> closed = List.copyOf(connections);
        connections.clear();
        closed.forEach(Runnable::run);
    }

    /** Sets whether runs that come to their end fail. */
    void setFailing(boolean now) {
        failing = now;
    }

    /** Returns whether connections are refused. */
    boolean isRefusing() {
        return refuses;
    }

    /** Calls a step when the connection of a call is closed by a crash. */
    void onConnectionClosed(Runnable step) {
        connections.add(step);
    }

    /** Starts a new incarnation under the same name, without any state. */
    void restart() {
        crash();
        down = false;
        refuses = false;
        connections.clear();
        ends.clear();
        refusedUpTo.clear();
        highestToken = 0;
        lastEnd = 0;
        leaseUntil = 0;
        startedNanos = time.nanoTime();
        startedEpochMillis = time.now().toEpochMilli();
    }

    long clock() {
        return (long) ((time.nanoTime() - startedNanos) / 1e6 * CLOCK_RATE);
    }

    private boolean isFencedOff(long token) {
        if (token < highestToken) {
            return true;
        }
        highestToken = token;
        return false;
    }

    StartOutcome start(StartRun order, long token) {
        if (isFencedOff(token)) {
            return StartOutcome.FENCED;
        }
        if (order.leaseUntilMillis() <= clock()) {
            return StartOutcome.EXPIRED;
        }
        extend(order.leaseUntilMillis());
        Run held = running.get(order.task());
        if (held != null && held.number == order.run()) {
            return StartOutcome.STARTED;
        }
        if (held != null || order.run() <= refusedUpTo.getOrDefault(order.task(), 0L)) {
            return StartOutcome.SUPERSEDED;
        }
        if (needsTickets && !order.ticket().map(t -> isValid(t, order.task())).orElse(false)) {
            return StartOutcome.NO_TICKET;
        }
        running.put(order.task(), new Run(order.run()));
        checks.started(id, order.task(), order.run());
        int startedIn = incarnation;
        if (checks.crashesWorkers(order.task().step().submission())) {
            time.afterMillis(CRASH_MILLIS, () -> crashBy(startedIn, order.task()));
        }
        if (taskMillis > 0) {
            boolean isSlow = slowRuns && (order.task().hashCode() + order.run()) % 10 == 0;
            long millis = isSlow ? 7 * taskMillis : taskMillis;
            time.afterMillis(millis, () -> finish(startedIn, order.task(), order.run()));
        }
        watchLease(startedIn);
        return StartOutcome.STARTED;
    }

    private boolean isValid(String ticket, TaskId task) {
        return SimAdvice.isValid(ticket, task.step(), incarnation, time.millis());
    }

    boolean stop(TaskId task, long run, long token) {
        if (isFencedOff(token)) {
            return false;
        }
        refusedUpTo.merge(task, run, Math::max);
        Run held = running.get(task);
        if (held != null && held.number == run) {
            end(task, run, Result.STOPPED);
        }
        return true;
    }

    /** Handles a poll; returns false if the sender has an old token. */
    boolean poll(long token, long ackCursor, OptionalLong until) {
        if (isFencedOff(token)) {
            return false;
        }
        until.ifPresent(this::extend);
        for (TaskEnd end : ends) {
            if (end.number() <= ackCursor) {
                checks.acknowledged(end);
            }
        }
        ends.removeIf(e -> e.number() <= ackCursor);
        return true;
    }

    WorkerReport report() {
        List<TaskRun> runs = new ArrayList<>();
        running.forEach((task, run) -> runs.add(new TaskRun(task, run.number, "", 100, 0)));
        int listed = Math.min(ends.size(), maxListedEnds);
        return new WorkerReport(
                clock(),
                OptionalLong.of(startedEpochMillis),
                runs,
                List.copyOf(ends.subList(0, listed)),
                listed == ends.size());
    }

    /** Runs a step at the next end of a run, or immediately if ends are listed. */
    void onEnd(Runnable step) {
        if (!ends.isEmpty()) {
            step.run();
            return;
        }
        waiting.add(step);
    }

    private void extend(long until) {
        leaseUntil = Math.max(leaseUntil, Math.min(until, clock() + MAX_LEASE_MILLIS));
    }

    private void watchLease(int startedIn) {
        long left = (long) ((leaseUntil - clock()) / CLOCK_RATE) + 1;
        time.afterMillis(
                Math.max(1, left),
                () -> {
                    if (startedIn != incarnation || running.isEmpty()) {
                        return;
                    }
                    if (clock() < leaseUntil) {
                        watchLease(startedIn);
                        return;
                    }
                    List.copyOf(running.entrySet())
                            .forEach(e -> end(e.getKey(), e.getValue().number, Result.LAPSED));
                });
    }

    private void crashBy(int startedIn, TaskId task) {
        if (startedIn != incarnation || !running.containsKey(task)) {
            return;
        }
        checks.crashed(task);
        crashVisibly();
        time.afterMillis(
                RESTART_MILLIS,
                () -> {
                    if (down) {
                        restart();
                        checks.restarted(this);
                    }
                });
    }

    private void finish(int startedIn, TaskId task, long run) {
        Run held = running.get(task);
        if (startedIn == incarnation && held != null && held.number == run) {
            end(task, run, failing ? Result.FAILED : Result.DONE);
        }
    }

    private void end(TaskId task, long run, Result result) {
        running.remove(task);
        refusedUpTo.merge(task, run, Math::max);
        ends.add(new TaskEnd(++lastEnd, task, run, result, ""));
        checks.ended(id, task, run);
        List<Runnable> steps = List.copyOf(waiting);
        waiting.clear();
        steps.forEach(Runnable::run);
    }

    private record Run(long number) {}
}
