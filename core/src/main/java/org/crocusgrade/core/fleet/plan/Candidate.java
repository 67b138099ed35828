package org.crocusgrade.core.fleet.plan;

/** A worker while a plan is made. */
final class Candidate {
    final WorkerView view;
    final int pool;
    final int arrival;
    final int firstMove;
    Route route;

    /**
     * Makes a worker that stays.
     *
     * @param view the worker
     * @param pool the index of the pool that it is in or on its way to
     * @param arrival the step from which it serves that pool
     * @param firstMove the first step in which it may move
     */
    Candidate(WorkerView view, int pool, int arrival, int firstMove, int steps) {
        this.view = view;
        this.pool = pool;
        this.arrival = arrival;
        this.firstMove = firstMove;
        this.route = Route.stay(pool, arrival, steps);
    }
}
