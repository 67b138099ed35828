/** The daemon's snapshot of the fleet, and its own membership. */
package org.crocusgrade.daemon.control;
