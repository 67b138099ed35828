/** The link between daemons: authenticated protobuf frames over TCP. */
package org.crocusgrade.peer;
