/** The configuration in force at this daemon. */
package org.crocusgrade.daemon.configuration;
