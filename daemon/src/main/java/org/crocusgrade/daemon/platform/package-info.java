/** Adapters of the platform's key-value service and of its hosts, over HTTP. */
package org.crocusgrade.daemon.platform;
