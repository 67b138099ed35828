/** The planner's role in this daemon: who holds it, what it sees, and how its moves are written. */
package org.crocusgrade.daemon.planner;
