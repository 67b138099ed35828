/** The daemon's settings file. */
package org.crocusgrade.daemon.settings;
