/** The HTTP client for workers: sends attempts and classifies the answers. */
package org.crocusgrade.daemon.upstream;
