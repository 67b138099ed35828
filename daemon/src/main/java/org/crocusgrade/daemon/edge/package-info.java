/** Where callers' requests come in and their answers go out. */
package org.crocusgrade.daemon.edge;
