package org.crocusgrade.bench.guarantee;

import java.util.List;

/** A guarantee of the system to its users and its check; reports call it a promise. */
public interface Guarantee {
    /** Returns the guarantee's name in reports. */
    String name();

    /** Checks every case that the observations contain. */
    CheckResult check(Observations observations);

    /** Returns all guarantees, in the order of the reports. */
    static List<Guarantee> all() {
        return List.of(
                new BudgetGuarantee(),
                new OnePoolGuarantee(),
                new OwnAnswerGuarantee(),
                new NotRunGuarantee(),
                new AtMostOnceGuarantee(),
                new LeavingGuarantee(),
                new GracefulStopGuarantee(),
                new ConfigGuarantee());
    }
}
