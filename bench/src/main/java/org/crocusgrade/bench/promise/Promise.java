package org.crocusgrade.bench.promise;

import java.util.List;

/** One promise to the users, and how evidence is held against it. */
public interface Promise {
    /** Returns the promise's name in reports. */
    String name();

    /** Checks every case that the evidence has. */
    Verdict check(Evidence evidence);

    /** Returns all promises, in the brief's order. */
    static List<Promise> all() {
        return List.of(
                new BudgetPromise(),
                new OnePoolPromise(),
                new OwnAnswerPromise(),
                new NotRunPromise(),
                new AtMostOncePromise(),
                new LeavingPromise(),
                new GracefulStopPromise(),
                new ConfigPromise());
    }
}
