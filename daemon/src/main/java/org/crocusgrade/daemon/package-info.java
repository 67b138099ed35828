/** The daemon: adapters around the decisions of core, and their wiring. */
package org.crocusgrade.daemon;
