/**
 * Decides which worker or host serves which pool: forecasts the demand of each pool from reports
 * and weighs moves between pools by their cost.
 *
 * <p>Load: the demand of a pool surges at intervals, and pools surge in turns: when the surge of
 * one pool ends, that of the next one in a fixed order begins. {@link DefaultPlanner} moves workers
 * between pools that serve requests; {@link PoolBalancer} moves hosts between pools that run batch
 * tasks.
 */
package org.crocusgrade.core.fleet.plan;
