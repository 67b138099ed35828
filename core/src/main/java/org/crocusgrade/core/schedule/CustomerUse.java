package org.crocusgrade.core.schedule;

import org.crocusgrade.core.submission.Resources;

/** What the tasks of one customer demand in a pool, from their start orders to their ends. */
final class CustomerUse {
    private Resources running = Resources.NONE;

    void add(Resources demand) {
        running = running.plus(demand);
    }

    void remove(Resources demand) {
        running = running.minus(demand);
    }

    /** Returns the demand of all runs that may be active. */
    Resources running() {
        return running;
    }
}
