/** The daemon's view of the fleet and its place among the members. */
package org.crocusgrade.daemon.control;
