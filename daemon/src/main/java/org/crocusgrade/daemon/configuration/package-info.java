/** Distribution of configuration to this daemon, and the version in force. */
package org.crocusgrade.daemon.configuration;
