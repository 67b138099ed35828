/** The racks that this daemon owns: grants, moves, take-over. */
package org.crocusgrade.daemon.owner;
