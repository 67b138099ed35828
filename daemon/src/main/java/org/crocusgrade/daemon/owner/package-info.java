/** Rack ownership: authority, take-over, slot grants and moves of workers. */
package org.crocusgrade.daemon.owner;
