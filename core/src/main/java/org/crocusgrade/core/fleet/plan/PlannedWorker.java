package org.crocusgrade.core.fleet.plan;

/** A worker and the route currently planned for it; {@link PlanSearch} changes the route. */
final class PlannedWorker {
    final WorkerView view;
    final int pool;
    final int arrival;
    final int firstMove;
    Route route;

    /**
     * Creates a worker whose route is to stay in its pool.
     *
     * @param view the worker
     * @param pool the index of the pool that it serves or is moving to
     * @param arrival the first step in which it serves that pool; 0 if it serves it already
     * @param firstMove the first step in which it may move, after its dwell time
     * @param steps the number of steps in the horizon
     */
    PlannedWorker(WorkerView view, int pool, int arrival, int firstMove, int steps) {
        this.view = view;
        this.pool = pool;
        this.arrival = arrival;
        this.firstMove = firstMove;
        this.route = Route.stay(pool, arrival, steps);
    }
}
