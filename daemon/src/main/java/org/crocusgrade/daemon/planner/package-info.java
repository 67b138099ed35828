/**
 * The planner role of this daemon: its election, the planner's inputs, and the writing of its
 * moves.
 */
package org.crocusgrade.daemon.planner;
