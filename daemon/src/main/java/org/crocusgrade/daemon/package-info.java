/** The daemon: its components, their wiring, and adapters around the logic of core. */
package org.crocusgrade.daemon;
