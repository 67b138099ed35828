package org.crocusgrade.core.fleet.plan;

/**
 * Decides which workers move to another pool. A planner does no I/O and reads no clock: the same
 * sequence of views gives the same sequence of plans. It remembers what it learned of the demand
 * from the views that it was shown, so one instance belongs to one holder of the planner's lease; a
 * new holder starts with a new instance and learns again.
 */
public interface Planner {
    /** Returns what shall change now. Views are shown in order of their time. */
    Plan plan(FleetView view);
}
