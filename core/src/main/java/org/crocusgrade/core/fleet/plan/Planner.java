package org.crocusgrade.core.fleet.plan;

/**
 * Decides which workers move to another pool. A planner does no I/O and reads no clock, so the same
 * sequence of views gives the same sequence of plans. It keeps the demand history of the views it
 * was given, so an instance belongs to one holder of the planner's lease; a new holder starts with
 * a new instance and no history.
 */
public interface Planner {
    /** Returns the plan for a view. Views must be passed in the order of their time. */
    Plan plan(FleetView view);
}
