/** Conversion between peer messages and the types of core. */
package org.crocusgrade.daemon.link;
