/** Sends requests to workers and judges their answers. */
package org.crocusgrade.daemon.upstream;
