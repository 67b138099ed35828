/** Interfaces of core to the outside: clock, key-value store, platform and workers. */
package org.crocusgrade.core.port;
