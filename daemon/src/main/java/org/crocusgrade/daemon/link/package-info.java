/** Messages between daemons, to and from the types of core. */
package org.crocusgrade.daemon.link;
